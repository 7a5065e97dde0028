// Command kervan-etki prints the configuration of Kervan Etki Analitik, which assembles research impact case studies.
package main

import (
	"fmt"
	"os"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/operator"
)

// safeMethods leaves out PUT and DELETE: each write of these services posts something that cannot be taken back.
var safeMethods = []string{"GET", "HEAD", "OPTIONS"}

func main() {
	if err := fleet().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet returns 50 workers in three zones of one region. Every pool survives the loss of one rack of 4 while a fifth
// worker is in maintenance, because a late sweep costs a university its submission window.
func fleet() operator.Fleet {
	oneRack := config.Failures{Racks: 1}
	// Instances are the workers of a pool. operator.GB is one gigabyte in megabytes.
	return operator.Fleet{
		Name:    "kervan-etki",
		Contact: "operators@kervan-etki.example",
		Region:  "anatolia",
		Zones:   []string{"anatolia-a", "anatolia-b", "anatolia-c"},
		Worker:  operator.Worker{Cores: 16, MemoryMB: 32 * operator.GB, Slots: 8, Connections: 64, RackSize: 4},
		Weights: config.Weights{RollOutTime: 35, Protection: 35, BufferCost: 15, Moves: 15},
		Pools: []operator.Pool{
			{Name: "citation", Contact: "citation-desk@kervan-etki.example", Instances: 12, Survive: oneRack,
				Services: []operator.Service{{Name: "citation", Urgency: config.Urgent, Deadline: 5 * clock.Second}},
				Jobs: []operator.Job{
					{Name: "citation-sweep", Team: "citation", Urgency: config.Urgent, Cores: 8,
						MemoryMB: 16 * operator.GB, RunTime: 2 * clock.Hour, Command: []string{"citation", "sweep"}},
					{Name: "citation-reindex", Team: "citation", Urgency: config.Batch, Cores: 4,
						MemoryMB: 8 * operator.GB, RunTime: 6 * clock.Hour, Command: []string{"citation", "reindex"}},
				}},
			{Name: "policy", Contact: "policy-desk@kervan-etki.example", Instances: 10, Survive: oneRack,
				Services: []operator.Service{{Name: "policy"}},
				Jobs: []operator.Job{{Name: "policy-match", Team: "policy", Cores: 8, MemoryMB: 16 * operator.GB,
					RunTime: 3 * clock.Hour, Command: []string{"policy", "match"}}}},
			{Name: "media", Contact: "media-desk@kervan-etki.example", Instances: 9, Survive: oneRack,
				Services: []operator.Service{{Name: "media", Urgency: config.Batch}},
				Jobs: []operator.Job{{Name: "media-scan", Team: "media", Urgency: config.Batch, Cores: 4,
					MemoryMB: 8 * operator.GB, RunTime: 4 * clock.Hour, Command: []string{"media", "scan"}}}},
			{Name: "dossier", Contact: "dossier-desk@kervan-etki.example", Instances: 10, Survive: oneRack,
				Services: []operator.Service{{Name: "dossier", Urgency: config.Urgent, Deadline: 20 * clock.Second,
					IdempotentMethods: safeMethods}},
				Jobs: []operator.Job{{Name: "evidence-pack", Team: "dossier", Urgency: config.Urgent, RunOnce: true,
					Cores: 8, MemoryMB: 16 * operator.GB, RunTime: clock.Hour,
					Command: []string{"dossier", "evidence-pack"}}}},
			{Name: "support", Contact: "support-desk@kervan-etki.example", Instances: 9, Spare: true, Survive: oneRack,
				Services: []operator.Service{{Name: "support"}}},
		},
		Teams: []operator.Team{
			{Name: "citation", Callers: []string{"citation-portal", "university-gateway"}, MaxInFlight: 64, Cores: 48,
				MemoryMB: 96 * operator.GB},
			{Name: "policy", Callers: []string{"policy-portal"}, MaxInFlight: 48, Cores: 32, MemoryMB: 64 * operator.GB},
			{Name: "media", Callers: []string{"media-monitor"}, MaxInFlight: 32, Cores: 16, MemoryMB: 32 * operator.GB},
			{Name: "dossier", Callers: []string{"committee-desk", "ministry-gateway"}, MaxInFlight: 48, Cores: 32,
				MemoryMB: 64 * operator.GB},
			{Name: "support", Callers: []string{"help-desk"}, MaxInFlight: 32},
		},
	}
}
