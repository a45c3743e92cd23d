package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"vanillalock.example/vanillalock/internal/fleet"
	"vanillalock.example/vanillalock/internal/fleet/ledger"
	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Timing of an entry.
const (
	askTimeout = 600 * time.Millisecond // of a request to another entry; the leader answers within milliseconds
	// notifyAttempts is the number of attempts to notify the leader. If all fail, its
	// watch of the store still finds the change.
	notifyAttempts = 3
	// cancelAttempts bounds the attempts of a cancellation beside which the job is stored or
	// removed. Either happens once.
	cancelAttempts = 3
	// Cancellations of jobs that do not exist, by one entry, a second and at once. Each is kept
	// for as long as the state of a job that has ended.
	earlyCancelRate  = 10
	earlyCancelBurst = 100
)

// Entry serves callers and takes part in elections. One of the entries leads.
type Entry struct {
	opts         Options
	listener     net.Listener
	source       ConfigSource
	config       atomic.Pointer[fleet.Config]
	held         atomic.Pointer[heldConfig] // nil: none is in force
	localLeader  atomic.Pointer[Leader]
	ledUntil     atomic.Int64 // end of the last term led by this process, as of sinceStart; 0: it has led none
	leaving      atomic.Bool
	stopElection context.CancelFunc

	direct       fleet.Store // the store without relaying
	store        *relayStore
	peers        peers
	fits         fits
	relayed      *semaphore.Weighted                                                               // calls for other entries that are under way
	earlyCancels *rate.Limiter                                                                     // cancellations of jobs that do not exist
	explain      *rate.Limiter                                                                     // answers to AskExplain
	askPeer      func(ctx context.Context, address string, q *pb.FleetAsk) (*pb.FleetReply, error) // of another entry

	mu     sync.Mutex
	leader link.LeaderRecord
	term   uint64
}

// NewEntry returns an entry. The listener accepts sessions of other entries.
func NewEntry(o Options, listener net.Listener, source ConfigSource) *Entry {
	e := &Entry{opts: o, listener: listener, source: source, direct: o.Store, peers: peers{sessions: map[string]*wire.Session{}}}
	e.opts.Config = e.Config
	e.askPeer = e.peers.ask
	e.relayed = semaphore.NewWeighted(maxRelayedCalls)
	e.earlyCancels = rate.NewLimiter(earlyCancelRate, earlyCancelBurst)
	e.explain = rate.NewLimiter(explainRate, explainRate)
	e.store = &relayStore{Store: o.Store, relay: e.relayCall}
	e.opts.Store = e.store
	return e
}

// Run runs the entry until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	leadCtx, stop := context.WithCancel(ctx)
	defer stop()
	e.stopElection = stop
	go e.watchConfig(ctx)
	go e.accept(ctx)
	go e.maintainPeers(ctx)
	go e.store.probe(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.elect(leadCtx)
	}()
	<-ctx.Done()
	<-done
	return nil
}

// Leave ends the entry's part in elections, and its leadership if it leads. Ready
// reports false from then on.
func (e *Entry) Leave() {
	e.leaving.Store(true)
	if e.stopElection != nil {
		e.stopElection()
	}
}

// Config implements fleet.JobService.
func (e *Entry) Config() *fleet.Config { return e.config.Load() }

// Ready implements fleet.JobService.
func (e *Entry) Ready() bool { return e.config.Load() != nil && !e.leaving.Load() }

// Leaving implements fleet.JobService.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// setLeader records the leader of a term, unless a later term is known.
func (e *Entry) setLeader(record link.LeaderRecord, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.term {
		return
	}
	e.leader, e.term = record, term
	e.opts.Log.Info("Leader known.", "leader", record.Node, "term", term)
}

// ask sends a request to the leader, which may be this entry, and returns its reply.
func (e *Entry) ask(ctx context.Context, q *pb.FleetAsk) (*pb.FleetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if leader := e.localLeader.Load(); leader != nil {
		return leader.answer(ctx, q)
	}
	e.mu.Lock()
	address := e.leader.Address
	e.mu.Unlock()
	if address == "" || address == e.opts.Advertise {
		return nil, errNoLeader
	}
	return e.askPeer(ctx, address, q)
}

var errNoLeader = errors.New("no leader is known or reachable")

// accept accepts the sessions of other entries until ctx ends.
func (e *Entry) accept(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = e.listener.Close() })
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			fleet.Sleep(ctx, redialDelay)
			continue
		}
		go e.serve(ctx, conn)
	}
}

// serve handles the requests of one session, each on its own stream.
func (e *Entry) serve(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, wire.Config{})
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go e.serveAsk(ctx, stream)
	}
}

func (e *Entry) serveAsk(ctx context.Context, stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	frame, err := stream.Receive(askTimeout)
	if err != nil || frame.GetFleetAsk() == nil {
		return
	}
	timeout := askTimeout
	if frame.GetFleetAsk().GetKind() == link.AskExplain {
		timeout = explainTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if frame.GetFleetAsk().GetKind() == link.AskStore {
		if !e.relayed.TryAcquire(1) {
			refused := storeReply{}.withError(fmt.Errorf("%w: %d calls are relayed already", kv.ErrUnavailable, maxRelayedCalls))
			if data, err := json.Marshal(refused); err == nil {
				_ = stream.Send(&pb.Frame{Body: &pb.Frame_FleetReply{FleetReply: &pb.FleetReply{Data: data}}})
			}
			return
		}
		defer e.relayed.Release(1) // once the reply is sent
	}
	reply, err := e.answerAsk(ctx, frame.GetFleetAsk())
	if err != nil {
		return
	}
	// If the sender has gone, it repeats the request in another session.
	_ = stream.Send(&pb.Frame{Body: &pb.Frame_FleetReply{FleetReply: reply}})
}

func (e *Entry) answerAsk(ctx context.Context, q *pb.FleetAsk) (*pb.FleetReply, error) {
	switch q.GetKind() {
	case link.AskStore:
		return e.serveStore(ctx, q)
	case link.AskLeading:
		return e.answerLeading()
	case link.AskExplain:
		return e.answerExplain(ctx, q), nil
	}
	leader := e.localLeader.Load()
	if leader == nil {
		return nil, errNoLeader
	}
	return leader.answer(ctx, q)
}

// Submit implements fleet.JobService. The job is accepted once it is stored; submitting
// it again is safe.
func (e *Entry) Submit(ctx context.Context, job fleet.Job) fleet.Answer {
	began := time.Now()
	answer := e.submit(ctx, job)
	e.opts.Metrics.Submit.Observe(time.Since(began))
	e.opts.Metrics.Answered("submit", uint8(answer.Result))
	if answer.Result != fleet.ResultOK {
		e.opts.Log.Warn("job not accepted", "job", job.ID, "queue", job.Queue, "result", answer.Result, "why", answer.Cause, "took", time.Since(began))
	}
	return answer
}

func (e *Entry) submit(ctx context.Context, job fleet.Job) fleet.Answer {
	if cause := unsupported(&job); cause != "" {
		return fleet.Answer{Result: fleet.ResultUnsupported, Cause: cause}
	}
	if e.store.isDown() {
		// Refuse at once: a store call without an answer would make the result unknown.
		return fleet.Answer{Result: fleet.ResultNotRun, RetryAfter: e.retryAfter(), Cause: "the store is out of reach"}
	}
	value, err := json.Marshal(job)
	if err != nil {
		return fleet.Answer{Result: fleet.ResultNotRun, Cause: err.Error()}
	}
	key := fleet.JobBase + job.ID
	if cause := e.misfit(ctx, job); cause != "" {
		// An earlier try may have been accepted while there was such a VM.
		switch _, err := e.opts.Store.Get(ctx, key); {
		case err == nil:
			return fleet.Answer{}
		case isNotFound(err):
			return fleet.Answer{Result: fleet.ResultNotRun, RetryAfter: misfitRetry, Cause: cause}
		default:
			return fleet.Answer{Result: fleet.ResultUnknown, Cause: err.Error()}
		}
	}
	revision, err := e.opts.Store.Commit(ctx, submission(job.ID, value))
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		go e.notify(&pb.FleetAsk{Kind: link.AskAccepted, Id: job.ID, Job: value, Revision: revision})
		return fleet.Answer{}
	case errors.As(err, &conflict):
		if !conflict.Has(key) {
			return fleet.Answer{Result: fleet.ResultNotRun, Cause: "the job was cancelled before it was accepted"}
		}
		return fleet.Answer{} // accepted by an earlier submission
	case errors.Is(err, kv.ErrUnavailable):
		return fleet.Answer{Result: fleet.ResultNotRun, RetryAfter: e.retryAfter(), Cause: err.Error()}
	default:
		return fleet.Answer{Result: fleet.ResultUnknown, Cause: err.Error()}
	}
}

// submission returns the transaction that stores a job. Whenever it is carried out, it stores
// nothing once the job has been cancelled.
func submission(id string, value []byte) fleet.Txn {
	key := fleet.JobBase + id
	return fleet.Txn{If: []fleet.Condition{{Key: key}, {Key: fleet.CancelBase + id}}, Put: []fleet.Write{{Key: key, Value: value}}}
}

// unsupported returns what a job needs that is not built, or "".
func unsupported(job *fleet.Job) string {
	if slices.ContainsFunc(job.Steps, func(s fleet.Step) bool { return s.Gang }) {
		return "gangs are not supported yet"
	}
	if job.Policy.Advised {
		return "queues with advice are not supported yet"
	}
	return ""
}

// retryAfter returns the retry delay for a caller that is refused now.
func (e *Entry) retryAfter() time.Duration { return retryAfter(e.store.outage(), rand.Float64()) }

// notify sends the leader a change that was just stored, so that it need not wait for
// its watch.
func (e *Entry) notify(q *pb.FleetAsk) {
	for range notifyAttempts {
		if _, err := e.ask(context.Background(), q); err == nil {
			return
		}
		time.Sleep(redialDelay)
	}
}

// State implements fleet.JobService.
func (e *Entry) State(ctx context.Context, id string) fleet.Answer {
	began := time.Now()
	defer func() { e.opts.Metrics.State.Observe(time.Since(began)) }()
	if reply, err := e.ask(ctx, &pb.FleetAsk{Kind: link.AskState, Id: id}); err == nil && reply.GetState() != "" {
		return fleet.Answer{State: reply.GetState()}
	}
	answer := e.storedState(ctx, id)
	if answer.Result != fleet.ResultOK {
		e.opts.Log.Warn("state not known", "job", id, "result", answer.Result, "why", answer.Cause)
	}
	return answer
}

// storedState reads the state of a job from the store, for when the leader does not
// answer or does not know the job.
func (e *Entry) storedState(ctx context.Context, id string) fleet.Answer {
	if _, err := e.opts.Store.Get(ctx, fleet.JobBase+id); err != nil {
		if isNotFound(err) {
			return fleet.Answer{Result: fleet.ResultNoSuchJob, Cause: "no such job"}
		}
		return fleet.Answer{Result: fleet.ResultUnknown, Cause: err.Error()}
	}
	state := ledger.Queued
	item, err := e.opts.Store.Get(ctx, fleet.ProgressBase+id)
	if err == nil {
		state, err = ledger.StoredState(item.Value)
	}
	if err != nil && !isNotFound(err) {
		return fleet.Answer{Result: fleet.ResultUnknown, Cause: err.Error()}
	}
	// A stored cancellation does not decide the state: the tasks may have ended before the
	// leader hears of it.
	return fleet.Answer{State: string(state)}
}

// Cancel implements fleet.JobService. A job is cancelled once the cancellation is stored.
func (e *Entry) Cancel(ctx context.Context, id string) fleet.Answer {
	answer := e.cancel(ctx, id)
	e.opts.Metrics.Answered("cancel", uint8(answer.Result))
	e.opts.Log.Info("cancel", "job", id, "result", answer.Result, "why", answer.Cause)
	return answer
}

// cancel stores the cancellation of a job, also of one that does not exist: its submission may
// still be under way. The leader removes such a cancellation once it is as old as the state of
// a job that has ended may be (Leader.forget).
func (e *Entry) cancel(ctx context.Context, id string) fleet.Answer {
	for range cancelAttempts {
		job, err := e.opts.Store.Get(ctx, fleet.JobBase+id) // without a revision if there is none
		exists := err == nil
		if !exists && !isNotFound(err) {
			return fleet.Answer{Result: fleet.ResultUnknown, RetryAfter: e.retryAfter(), Cause: err.Error()}
		}
		if !exists && !e.earlyCancels.Allow() {
			return fleet.Answer{Result: fleet.ResultNotRun, RetryAfter: time.Second, Cause: "too many cancellations of jobs that do not exist"}
		}
		_, err = e.opts.Store.Commit(ctx, fleet.Txn{
			If:  []fleet.Condition{{Key: fleet.JobBase + id, Revision: job.Revision}},
			Put: []fleet.Write{{Key: fleet.CancelBase + id, Value: []byte("{}")}},
		})
		switch {
		case errors.As(err, new(*fleet.ConflictError)): // the job was stored or removed meanwhile
		case err != nil:
			return fleet.Answer{Result: fleet.ResultUnknown, RetryAfter: e.retryAfter(), Cause: err.Error()}
		case !exists:
			return fleet.Answer{Result: fleet.ResultNoSuchJob, Cause: "no such job"}
		default:
			go e.notify(&pb.FleetAsk{Kind: link.AskCancelled, Id: id})
			return fleet.Answer{}
		}
	}
	return fleet.Answer{Result: fleet.ResultUnknown, RetryAfter: e.retryAfter(), Cause: "the job changes all the time"}
}

// Waiting implements fleet.JobService.
func (e *Entry) Waiting(ctx context.Context, queue string) fleet.Answer {
	reply, err := e.ask(ctx, &pb.FleetAsk{Kind: link.AskWaiting, Queue: queue})
	if err != nil {
		return fleet.Answer{Result: fleet.ResultNotRun, RetryAfter: e.retryAfter(), Cause: err.Error()}
	}
	return fleet.Answer{Waiting: int(reply.GetWaiting())}
}
