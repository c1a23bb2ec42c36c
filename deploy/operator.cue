// All that an operator can set, with the values that hold where nothing is said, but for addresses.
// Named by --operator or NODE_OPERATOR; `oatpitch check deploy/operator.cue` prints what is settled.
// Nothing here is switched on by deploy/balancer.toml.

// Publishes the tables by snapshot and changes: docs/channel.md.
channel: {
	listen:         "127.0.0.1:7100"
	lineage:        "discovery" // the list that versions are compared within
	subscribers:    1000
	waiting_lines:  4096 // allowed to wait for one subscriber
	history:        1024 // revisions kept for each feed
	history_bytes:  4MiB
	catch_up_lines: 2_000_000 // of snapshots a second, over all
	beat:           1s
	silent:         3s
	linger:         2s
}

// `oatpitch relay` follows one of these and publishes to many.
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

// Scripts that shape routing within bounds: docs/hooks.md.
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

// `oatpitch follow`.
follow: hold: #Patience

#Patience: {
	effects:    1s // classes whose repeat has an effect are held back so long, then refused at once
	unordered:  10s // where the order of two conductors can't be told
	retry:      100ms
	retry_most: 2s
}
