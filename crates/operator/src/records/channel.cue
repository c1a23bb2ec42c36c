// Schema of the snapshot channel's settings. docs/channel.md describes each.

#Port: address

// Publishes tables as snapshots and changes. Off unless it is set.
#Channel: {
	// Address on which subscribers are accepted.
	listen: #Port
	// Name of the node list that the tables are derived from. Versions are compared only within one lineage.
	lineage: string & =~"^[A-Za-z0-9._-]{1,64}$" | *"discovery"
	// Most subscribers at once, those included that have not identified themselves.
	subscribers: int & >=1 & <=20000 | *1000
	// Most lines that wait for one subscriber. If there are more, all of them are discarded.
	waiting_lines: int & >=16 & <=1000000 | *4096
	// Most revisions kept for each feed, from which a subscriber can resume.
	history: int & >=1 & <=100000 | *1024
	// Most bytes kept for each feed, from which a subscriber can resume.
	history_bytes: size & >=64KiB & <=256MiB | *4MiB
	// Lines of snapshots sent per second to subscribers that fell behind or came back, over all of them.
	catch_up_lines: int & >=1000 & <=1000000000 | *2000000
	// Interval between the heartbeats that each end sends. At least two must fit into `silent`.
	beat: time & >=20ms & <=60s | *1s
	// Time without a heartbeat after which a stream is closed.
	silent: time & >=100ms & <=10m | *3s
	// Time for which a subscriber keeps its place after its stream has broken.
	linger: time & >=0ms & <=60s | *2s
}

// Follows one conductor or relay, and publishes its tables to many subscribers.
#Relay: {
	// Addresses of the channels that may be followed.
	origins: [...#Port]
	publish: #Channel
	// Number of the proxy as which the relay follows.
	proxy: int & >=0 & <=65535
	// Zone of the relay.
	zone: string & !=""
	// Exchanges per second of all that follow the relay.
	rate: number & >=0 & <=100000 | *1
	hold: #Hold
}

// What a subscriber does while its table is not current.
#Hold: {
	// Time for which exchanges that are not safe to repeat are held back before they are refused at once.
	effects: time & >=0ms & <=10m | *1s
	// Time for which the present table is kept if the order of two conductors' tables is unknown.
	unordered: time & >=0ms & <=10m | *10s
	// Delay before the first retry to connect.
	retry: time & >=10ms & <=60s | *100ms
	// Longest delay between retries to connect. The delay grows up to it.
	retry_most: time & >=10ms & <=10m | *2s
}

// Settings of `oatpitch follow`.
#Follow: {
	hold: #Hold
}

channel?: #Channel
relay?:   #Relay
follow:   #Follow
