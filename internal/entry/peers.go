package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillalock.example/vanillalock/coord/membership"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// peerTimeout is the timeout of one query to another entry.
const peerTimeout = 2 * time.Second

var (
	errUnexpectedFrame = errors.New("the entry sent an unexpected frame")
	// errNotSent means that the other entry cannot have received the query.
	errNotSent = errors.New("the entry accepts no session")
)

// servePeer answers the queries of another entry, each on its own stream. frame
// is the first query, received on stream.
func (e *Entry) servePeer(ctx context.Context, session *wire.Session, stream *wire.Stream, frame *pb.Frame) {
	e.answerPeer(ctx, stream, frame)
	for {
		next, err := session.AcceptStream()
		if err != nil {
			return
		}
		e.wg.Go(func() {
			frame, err := next.Receive(firstFrameTimeout)
			if err == nil {
				e.answerPeer(ctx, next, frame)
			}
		})
	}
}

// answerPeer answers one query and closes its stream. Other frames are ignored.
func (e *Entry) answerPeer(ctx context.Context, stream *wire.Stream, frame *pb.Frame) {
	defer stream.Close()
	var reply *pb.Frame
	switch body := frame.Body.(type) {
	case *pb.Frame_PeerQuery:
		status, ok := queryControl(ctx, e, func(c *control) *pb.PeerStatus { return c.peerStatus(body.PeerQuery) })
		if !ok {
			return
		}
		reply = &pb.Frame{Body: &pb.Frame_PeerStatus{PeerStatus: status}}
	case *pb.Frame_Resolve:
		reply = &pb.Frame{Body: &pb.Frame_Response{Response: e.answerForPeer(ctx, body.Resolve.Id)}}
	case *pb.Frame_JobCall:
		reply = &pb.Frame{Body: &pb.Frame_JobResult{JobResult: e.serveJobCall(ctx, body.JobCall)}}
	default:
		return
	}
	if err := stream.Send(reply); err != nil {
		e.opts.Log.Debug("Reply to peer not sent.", "err", err)
	}
}

// answerForPeer returns the answer to a request that this entry holds, or
// NotFound.
func (e *Entry) answerForPeer(ctx context.Context, id string) *pb.Response {
	answer, known := e.localAnswer(ctx, id)
	if !known {
		return &pb.Response{Id: id, Code: uint32(rescode.NotFound)}
	}
	return &pb.Response{Id: id, Code: uint32(answer.Code), Detail: answer.Detail, Body: answer.Body}
}

// peerStatus returns the time since this entry last attested and its latest
// contact with each of the queried suspects.
func (c *control) peerStatus(q *pb.PeerQuery) *pb.PeerStatus {
	now := c.entry.now()
	status := &pb.PeerStatus{
		Entry: c.entry.incarnation, MembersEpoch: c.verifier.Epoch(),
		// Rounded down, because overstating the time would prove too much.
		UnattestedUs: uint64(c.verifier.Unattested(now) / time.Microsecond),
	}
	for _, id := range q.Suspects {
		_, incarnation := c.members.State(id)
		contact := c.members.Contact(now, id, incarnation)
		status.Contacts = append(status.Contacts, &pb.SuspectContact{
			VmId: id, Incarnation: contact.Incarnation, Heard: contact.Heard, HeardAgeUs: uint64(contact.Age / time.Microsecond),
		})
	}
	return status
}

// queryObservers queries other entries for their contact with a suspect agent.
func (c *control) queryObservers(action membership.Action) {
	for _, observer := range action.Observers {
		peer, ok := c.peers[observer]
		if !ok {
			continue
		}
		c.entry.wg.Go(func() { c.entry.queryContact(peer, action.Peer) })
	}
}

// queryContact queries one entry for its contact with a suspect agent and
// passes the answer to the failure detector.
func (e *Entry) queryContact(peer peerRecord, suspect string) {
	reply, err := e.callPeer(e.ctx, peer, &pb.Frame{Body: &pb.Frame_PeerQuery{PeerQuery: &pb.PeerQuery{
		Entry: e.incarnation, Suspects: []string{suspect},
	}}}, peerTimeout)
	if err != nil || reply.GetPeerStatus() == nil {
		return
	}
	for _, contact := range reply.GetPeerStatus().Contacts {
		e.postEvent(e.ctx, func(c *control) {
			c.onMembership(c.members.Answer(e.now(), membership.Contact{
				Peer: contact.VmId, Incarnation: contact.Incarnation, Heard: contact.Heard,
				Age: time.Duration(contact.HeardAgeUs) * time.Microsecond,
			}))
		})
	}
}

// peers returns the other live entries.
func (e *Entry) peers(ctx context.Context) []peerRecord {
	list, _ := queryControl(ctx, e, func(c *control) []peerRecord {
		var out []peerRecord
		for _, id := range c.otherEntries() {
			out = append(out, c.peers[id])
		}
		return out
	})
	return list
}

// callPeer sends one query to another entry and returns its reply. It opens a
// session for each query, because queries are rare: when an agent is suspected,
// after a takeover, for a job of another owner, or for an answer that another
// entry holds. An error that wraps errNotSent means that the query was not
// sent.
func (e *Entry) callPeer(ctx context.Context, peer peerRecord, frame *pb.Frame, timeout time.Duration) (*pb.Frame, error) {
	session, err := wire.Dial(ctx, peer.Session, e.wireConfig())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err := stream.Send(frame); err != nil {
		return nil, err
	}
	return stream.Receive(timeout)
}

// fetchPeerAnswer fetches the answer to a request from another entry. The error
// NotFound means that it holds none.
func (e *Entry) fetchPeerAnswer(ctx context.Context, peer peerRecord, id string) (structs.Answer, error) {
	reply, err := e.callPeer(ctx, peer, &pb.Frame{Body: &pb.Frame_Resolve{Resolve: &pb.Resolve{Id: id}}}, peerTimeout)
	if err != nil {
		return structs.Answer{}, err
	}
	r := reply.GetResponse()
	if r == nil {
		return structs.Answer{}, errUnexpectedFrame
	}
	if rescode.Code(r.Code) == rescode.NotFound {
		return structs.Answer{}, rescode.Errorf(rescode.NotFound, "entry %s holds no answer", peer.ID)
	}
	return withOutcome(structs.Answer{RequestID: id, Code: rescode.Code(r.Code), Detail: r.Detail, Body: r.Body}), nil
}

// storeContact reports whether the region's keys were read recently, so that
// the list of live entries is current.
func (e *Entry) storeContact(ctx context.Context) bool {
	fresh, ok := queryControl(ctx, e, func(c *control) bool { return c.storeContact() })
	return ok && fresh
}

// storeContact reports whether the last read of the region's keys is less than
// three poll intervals old.
func (c *control) storeContact() bool {
	return c.jobs.membersReadAt > 0 && c.entry.now()-c.jobs.membersReadAt < 3*c.entry.opts.StoreTimes.PollInterval
}

// codedError returns the rescode.Error that err wraps, or nil.
func codedError(err error) *rescode.Error {
	var coded *rescode.Error
	if errors.As(err, &coded) {
		return coded
	}
	return nil
}
