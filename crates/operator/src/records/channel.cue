// The snapshot channel: docs/channel.md tells what each does.

#Port: address

// Publishes tables by snapshot and changes. Off unless it is set.
#Channel: {
	// Where subscribers connect.
	listen: #Port
	// The list of nodes that the tables rest on: versions are compared only within one.
	lineage: string & =~"^[A-Za-z0-9._-]{1,64}$" | *"discovery"
	// Subscribers at once, those that have not said who they are included.
	subscribers: int & >=1 & <=20000 | *1000
	// Lines that may wait for one subscriber before it loses what waits.
	waiting_lines: int & >=16 & <=1000000 | *4096
	// Revisions, and bytes, kept for each feed to resume from.
	history: int & >=1 & <=100000 | *1024
	history_bytes: size & >=64KiB & <=256MiB | *4MiB
	// Lines of snapshots a second for those that fell behind or came back, over all.
	catch_up_lines: int & >=1000 & <=1000000000 | *2000000
	// How often both ends show that they live, and without a sign for how long one is given up.
	beat: time & >=20ms & <=60s | *1s
	silent: time & >=100ms & <=10m | *3s
	// So long a subscriber whose stream broke keeps its place.
	linger: time & >=0ms & <=60s | *2s
}

// Follows one conductor, or another relay, and publishes to many.
#Relay: {
	origins: [...#Port]
	publish: #Channel
	proxy: int & >=0 & <=65535
	zone: string & !=""
	rate: number & >=0 & <=100000 | *1
	hold: #Hold
}

// What a subscriber does while its table is not current.
#Hold: {
	// So long classes whose repeat has an effect are held back before they are refused at once.
	effects: time & >=0ms & <=10m | *1s
	// Where the order of two conductors can't be told: so long the standing table is kept.
	unordered: time & >=0ms & <=10m | *10s
	// First wait before dialling again, and the longest that it grows to.
	retry: time & >=10ms & <=60s | *100ms
	retry_most: time & >=10ms & <=10m | *2s
}

#Follow: {
	hold: #Hold
}

channel?: #Channel
relay?:   #Relay
follow:   #Follow
