// Schema of the settings of hooks: scripts that influence routing within limits. docs/hooks.md describes each.

#Hook: {
	// Unique name, used in the log.
	name: string & =~"^[a-z][a-z0-9-]{0,40}$"
	// Path of the script. It is relative to the folder of this file unless it is absolute.
	script: string & !=""
	// Place among the hooks, in ascending order. The last hook counts where several differ on a node.
	order: int & >=0 & <=100000 | *100
	// Most operations of the script engine in one call.
	operations: int & >=1000 & <=10000000 | *200000
	// Most memory of one value in a call; all that a call holds may take a multiple.
	memory: size & >=4KiB & <=16MiB | *256KiB
	// Longest time that one call may take.
	wall: time & >=1ms & <=1s | *20ms
	// Values of the settings that the script declares.
	settings?: _
}

#Hooks: {
	// All hooks.
	each: [...#Hook]
	// Time from the start of one round to the start of the next. The hooks are called once a round.
	period: time & >=50ms & <=60s | *500ms
	// Time that all calls of a round may take together.
	round: time & >=1ms & <=10s | *100ms
	// Least share of its weight that a node may be given.
	least: number & >=0.01 & <=1 | *0.25
	// Greatest share of its weight that a node may be given.
	most: number & >=1 & <=4 | *2
	// Least share of the exchanges of a class to which hooks may limit it.
	let_in: number & >=0.01 & <=1 | *0.1
	// Most lines that the hooks may change in one round.
	lines: int & >=1 & <=10000 | *50
	// Time for which a node's share is kept before it may change again.
	stand: time & >=100ms & <=10m | *2s
	// Failures within `span` that suspend a hook.
	failures: int & >=1 & <=1000 | *3
	// Time over which failures are counted.
	span: time & >=1s & <=1h | *1m
	// Time for which a hook is suspended at first. It doubles with each further suspension.
	wait: time & >=100ms & <=1h | *10s
	// Longest time for which a hook is suspended.
	wait_most: time & >=100ms & <=24h | *10m
	// Calls that a hook must pass on trial after a suspension.
	good: int & >=1 & <=10000 | *20
	// Time without an answer after which the last advice of the hooks is dropped.
	stale: time & >=100ms & <=10m | *5s
	// Minutes by which the operators' clock is ahead of UTC.
	ahead: int & >=-840 & <=840 | *0
}

hooks?: #Hooks
