// Package examples embeds the configurations of the example fleets, as their programs print them.
package examples

import _ "embed"

// KervanEtki is the configuration that examples/kervan-etki prints.
//
//go:embed kervan-etki/fleet.json
var KervanEtki []byte

// LoneStar is the configuration that examples/lone-star prints.
//
//go:embed lone-star/fleet.json
var LoneStar []byte
