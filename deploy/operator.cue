// All settings of an operator, with their default values except for addresses.
// --operator or NODE_OPERATOR names this file. `oatpitch check deploy/operator.cue` prints the settings that hold.
// deploy/balancer.toml uses none of them.

// Publishes the tables as snapshots and changes, see docs/channel.md.
channel: {
	listen:         "127.0.0.1:7100"
	lineage:        "discovery" // name of the node list; versions are compared only within one
	subscribers:    1000
	waiting_lines:  4096 // most lines that wait for one subscriber
	history:        1024 // most revisions kept for each feed
	history_bytes:  4MiB
	catch_up_lines: 2_000_000 // lines of snapshots per second, over all subscribers
	beat:           1s
	silent:         3s
	linger:         2s
}

// `oatpitch relay` follows one of the origins and publishes its tables to many subscribers.
relay: {
	origins: ["127.0.0.1:7100"]
	publish: #Channel & {
		listen: "127.0.0.1:7101"
	}
	proxy: 0
	zone:  "a"
	rate:  1
	hold:  #Patience
}

// Scripts that influence routing within limits, see docs/hooks.md.
hooks: {
	each: [
		{
			name:       "night"
			script:     "hooks/night.rhai"
			order:      100
			operations: 200_000
			memory:     256KiB
			wall:       20ms
			settings: {zone: "b", begins: 22, ends: 6}
		},
		{name: "slow-start", script: "hooks/slow-start.rhai", settings: {kind: 0}},
		{name: "priced", script: "hooks/priced.rhai"},
	]
	period:    500ms
	round:     100ms
	least:     0.25
	most:      2
	let_in:    0.1
	lines:     50
	stand:     2s
	failures:  3
	span:      1m
	wait:      10s
	wait_most: 10m
	good:      20
	stale:     5s
	ahead:     0
}

// Settings of `oatpitch follow`.
follow: hold: #Patience

#Patience: {
	effects:    1s // exchanges that are not safe to repeat are held back this long, then refused at once
	unordered:  10s // keeps the present table this long if the order of two conductors' tables is unknown
	retry:      100ms
	retry_most: 2s
}
