// Command lone-star prints the configuration of the Lone Star Glass Return Cooperative, which credits bottle deposits.
package main

import (
	"fmt"
	"os"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/operator"
)

// safeMethods leaves out PUT and DELETE, which are among the idempotent methods of a service by default: a deposit credit or
// a refund that is sent twice must be reclaimed.
var safeMethods = []string{"GET", "HEAD", "OPTIONS"}

func main() {
	if err := fleet().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet returns 50 workers in four zones of central Texas. The buffer is small because the cooperative pays for it: a
// pool survives the loss of one worker, or of two where families wait for money, while another worker is in maintenance.
func fleet() operator.Fleet {
	oneWorker, twoWorkers := config.Failures{Workers: 1}, config.Failures{Workers: 2}
	return operator.Fleet{
		Name:    "lone-star",
		Contact: "operators@lone-star.example",
		Region:  "central-texas",
		Zones:   []string{"austin", "round-rock", "san-marcos", "temple"},
		Worker:  operator.Worker{Cores: 32, MemoryMB: 64 * operator.GB, Slots: 8, Connections: 64, RackSize: 4},
		Weights: config.Weights{RollOutTime: 15, Protection: 15, BufferCost: 35, Moves: 35},
		Pools: []operator.Pool{
			{Name: "deposit", Contact: "deposit-desk@lone-star.example", Instances: 12, Survive: twoWorkers,
				Services: []operator.Service{{Name: "deposit", Urgency: config.Urgent, Deadline: 5 * clock.Second,
					IdempotentMethods: safeMethods}},
				Jobs: []operator.Job{{Name: "deposit-credit", Team: "deposit", Urgency: config.Urgent, RunOnce: true,
					Cores: 8, MemoryMB: 16 * operator.GB, RunTime: 30 * clock.Minute,
					Command: []string{"deposit", "credit"}}}},
			{Name: "crate", Contact: "crate-desk@lone-star.example", Instances: 10, Survive: oneWorker,
				Services: []operator.Service{{Name: "crate"}},
				Jobs: []operator.Job{{Name: "crate-tally", Team: "crate", Urgency: config.Urgent, Cores: 8,
					MemoryMB: 16 * operator.GB, RunTime: clock.Hour, Command: []string{"crate", "tally"}}}},
			{Name: "refund", Contact: "refund-desk@lone-star.example", Instances: 10, Survive: twoWorkers,
				Services: []operator.Service{{Name: "refund", Urgency: config.Urgent, IdempotentMethods: safeMethods}},
				Jobs: []operator.Job{{Name: "refund-settlement", Team: "refund", Urgency: config.Urgent, RunOnce: true,
					Cores: 16, MemoryMB: 32 * operator.GB, RunTime: clock.Hour,
					Command: []string{"refund", "settle"}}}},
			{Name: "routing", Contact: "truck-desk@lone-star.example", Instances: 9, Survive: oneWorker,
				Services: []operator.Service{{Name: "routing", Urgency: config.Batch, Deadline: 20 * clock.Second}},
				Jobs: []operator.Job{{Name: "truck-plan", Team: "routing", Urgency: config.Batch, Cores: 16,
					MemoryMB: 32 * operator.GB, RunTime: 2 * clock.Hour, Command: []string{"routing", "plan"}}}},
			{Name: "member-portal", Contact: "member-desk@lone-star.example", Instances: 9, Spare: true, // lends its workers to other pools
				Survive: oneWorker, Services: []operator.Service{{Name: "members"}}},
		},
		Teams: []operator.Team{
			{Name: "deposit", Callers: []string{"return-machines", "store-tills"}, MaxInFlight: 64, Cores: 64,
				MemoryMB: 128 * operator.GB},
			{Name: "crate", Callers: []string{"crate-scanners"}, MaxInFlight: 48, Cores: 32, MemoryMB: 64 * operator.GB},
			{Name: "refund", Callers: []string{"bank-gateway"}, MaxInFlight: 48, Cores: 64, MemoryMB: 128 * operator.GB},
			{Name: "routing", Callers: []string{"dispatch-office"}, MaxInFlight: 32, Cores: 32,
				MemoryMB: 64 * operator.GB},
			{Name: "members", Callers: []string{"member-app"}, MaxInFlight: 32},
		},
	}
}
