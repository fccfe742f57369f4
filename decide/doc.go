// Package decide implements the scheduling decisions of wardturn: which upstream a
// request is sent to, which adapters occupy the slots of an engine, which request runs
// next, and which adapter loads may use the shared weight store.
//
// The package is pure. Events and the current time are passed to method calls, actions
// are returned as values, and nothing in the package reads a clock, starts a goroutine or
// performs I/O. The daemons, the experiment tool and the model-based tests run the same
// code, so experiments measure the code that serves traffic.
//
// None of the types are safe for concurrent use. Each driver guards them with its own
// lock.
//
// # Two systems
//
// The package serves two systems, and no type of one uses a type of the other. In the
// embedded system, driven by packages entry and agent, the agent beside an upstream holds
// its queue: Router decides for one entry host, Agent for one upstream, Allocator divides
// the capacity of the weight store between agents, and Ledger records the outcomes of
// attempts. On the users' platform, driven by packages gateway and keeper, requests wait
// at their gateway: Fleet decides for one gateway, Placement for one engine, and each
// gateway bounds its own loads by a LoadWindow.
//
// The embedded system, entry:
//
//	router.go             Router: selects the upstream of a request
//	locations.go          where an adapter was served before, and its next location
//	quota.go              Quota: rate limit of one caller
//
// The embedded system, agent:
//
//	agent.go              Agent: its events and the orders that they cause
//	queue.go              queues of waiting requests, by adapter
//	plan.go               which request starts next, and which adapter is loaded
//	slots.go              adapter slots of the engine
//	admission.go          admission control: which requests are refused at once
//	share.go              fair sharing between teams by recent usage
//	shadow.go             evaluation of a second policy without effect
//	hint.go               Hint: an agent's load as reported to routers
//	ledger.go             Ledger: outcomes of attempts, so that none runs twice
//	permits.go            Permits: when an agent may use the weight store
//	permits_allocated.go  permits granted by an allocator
//	allocator.go          Allocator: grants permits to all agents of a store
//	meter.go              rate of events
//
// The users' platform, gateway:
//
//	fleet.go              Fleet: the upstreams and the requests that wait for them
//	pending.go            PendingRequest: a waiting request and its assignment
//	missing.go            adapters that are missing, and which engine to ask for them
//	loadorder.go          order of the missing adapters and of the requests that wait for one
//	member.go             Member: an upstream, and the cost of a request there
//	usage.go              requests sent to an upstream and how they ended
//	prefill.go            prompts waiting for prefill at engines
//	prefillturns.go       prompts that take turns, and the prefill rates of engines
//	objective.go          whether a request would meet its objective
//	waitlimit.go          how long a request waits, and when its caller should retry
//	teamload.go           requests of each team at this gateway
//	latewait.go           requests that wait beyond their objective, and the queue of loads
//	homecandidates.go     which engine becomes the home of a missing adapter
//	homeorder.go          engines preferred for an adapter, equal at all gateways
//	copies.go             additional copies of an adapter
//	engineupdate.go       EngineUpdate: a keeper's update on its engine
//	rollout.go            rollout of a new adapter version
//	announcement.go       announcements of adapter versions
//	crashtracker.go       CrashTracker: requests that crash upstreams
//	parttracker.go        PartTracker: parts of prompts that crash upstreams
//	teamcaps.go           TeamCaps: usage caps of teams across all gateways
//	teamreports.go        usage reports between gateways
//	leaving.go            upstreams that announced that they are leaving
//	cause.go              LoadCause: why an adapter was asked for
//	loadwindow.go         LoadWindow: how many concurrent loads the store can serve
//	loadshare.go          a gateway's share of the free load window
//	readscheduler.go      ReadScheduler: which gateway reads the store for all
//	limits.go             Limits: rate limits of upstreams, shared by all gateways
//	limitgossip.go        messages between gateways on limits
//	limited.go            refusals when all upstreams are limited or backing off
//	cold.go               rate limits of cold upstreams
//	sharedrate.go         a gateway's share of a rate
//	gatewaycount.go       GatewayCount: number of gateways for computing shares
//	lags.go               delays of messages from other processes
//	evacuation.go         failure domains that are evacuated
//	prefillrate.go        prefill rate of engines
//	pauses.go             pauses of streams while engines prefill prompts
//	backoff.go            backoffs that upstreams asked for
//	pathbackoff.go        PathBackoff: avoids a path for a while after it failed
//
// The users' platform, keeper:
//
//	placement.go          Placement: adapters of an engine
//	placement_requests.go load requests of gateways, and their order
//	placement_evict.go    which adapter is evicted, and which slots are reported free
//	placement_report.go   the engine's reports
//	prefillqueue.go       PrefillQueue: turns of prompts at an engine
//	prefillorder.go       the order of the prompts that wait for a turn
//	prefillspeed.go       the measured prefill rate of an engine
//
// Used by both:
//
//	breaker.go            Breaker: circuit breaker of an upstream
//	demand.go             Demand: request rate of an adapter
//	rendezvous.go         rendezvous hashing
//	retry.go              RetryBudget: retries as a share of requests
//
// # Terms
//
// In the embedded system, a slot holds one adapter version in an engine. A request pins
// the slot that it runs on, and a pinned slot is never unloaded. An adapter with waiting
// requests and no slot is loaded when it is worth more than the least valuable idle slot
// and Permits says that the weight store can serve another load.
//
// On the users' platform, a missing adapter is one that requests wait for. The
// gateway sends a load request for it to the keeper of one engine, and the keeper has the
// engine load it into one of its adapter slots.
package decide
