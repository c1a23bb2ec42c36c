// Hooks: scripts that shape routing within bounds. docs/hooks.md tells what each does.

#Hook: {
	// By which it is named in the log.
	name: string & =~"^[a-z][a-z0-9-]{0,40}$"
	// The script's file, beside this one unless its path is whole.
	script: string & !=""
	// Hooks count in this order; the last counts where they differ on a node.
	order: int & >=0 & <=100000 | *100
	// What one call may take.
	operations: int & >=1000 & <=10000000 | *200000
	memory: size & >=4KiB & <=16MiB | *256KiB
	wall: time & >=1ms & <=1s | *20ms
	// What the script declares and leaves to operators.
	settings?: _
}

#Hooks: {
	each: [...#Hook]
	// How often they are asked, and what all of them may take of that.
	period: time & >=50ms & <=60s | *500ms
	round: time & >=1ms & <=10s | *100ms
	// The least and most share of its weight that a node may be given, and of a class that may be let in.
	least: number & >=0.01 & <=1 | *0.25
	most: number & >=1 & <=4 | *2
	let_in: number & >=0.01 & <=1 | *0.1
	// Lines that hooks may change in one round, and how long a node's share stands.
	lines: int & >=1 & <=10000 | *50
	stand: time & >=100ms & <=10m | *2s
	// So many failures within a span put a hook out, for a wait that doubles up to a most.
	failures: int & >=1 & <=1000 | *3
	span: time & >=1s & <=1h | *1m
	wait: time & >=100ms & <=1h | *10s
	wait_most: time & >=100ms & <=24h | *10m
	good: int & >=1 & <=10000 | *20
	// Without an answer for so long what they said last is dropped.
	stale: time & >=100ms & <=10m | *5s
	// Minutes that the operators' clock is ahead of the common one.
	ahead: int & >=-840 & <=840 | *0
}

hooks?: #Hooks
