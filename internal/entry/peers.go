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

// peerTimeout bounds one question to another entry.
const peerTimeout = 2 * time.Second

var (
	errUnexpectedFrame = errors.New("the entry sent an unexpected frame")
	// errNotSent proves that the other entry received nothing.
	errNotSent = errors.New("the entry accepts no session")
)

// servePeer answers the questions of another entry, one stream each.
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

func (e *Entry) answerPeer(ctx context.Context, stream *wire.Stream, frame *pb.Frame) {
	defer stream.Close()
	var reply *pb.Frame
	switch body := frame.Body.(type) {
	case *pb.Frame_PeerQuery:
		status, ok := ask(ctx, e, func(c *control) *pb.PeerStatus { return c.peerStatus(body.PeerQuery) })
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
		e.opts.Log.Debug("Peer not answered.", "err", err)
	}
}

func (e *Entry) answerForPeer(ctx context.Context, id string) *pb.Response {
	answer, known := e.localAnswer(ctx, id)
	if !known {
		return &pb.Response{Id: id, Code: uint32(rescode.NotFound)}
	}
	return &pb.Response{Id: id, Code: uint32(answer.Code), Detail: answer.Detail, Body: answer.Body}
}

// peerStatus states when this entry last attested and which of the suspects it
// still hears.
func (c *control) peerStatus(q *pb.PeerQuery) *pb.PeerStatus {
	now := c.entry.now()
	status := &pb.PeerStatus{
		Entry: c.entry.incarnation, MembersEpoch: c.verifier.Epoch(),
		// Rounded down: a shorter silence proves less.
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

// askObservers asks other entries whether they still hear a suspect.
func (c *control) askObservers(action membership.Action) {
	for _, observer := range action.Observers {
		peer, ok := c.peers[observer]
		if !ok {
			continue
		}
		c.entry.wg.Go(func() { c.entry.askContact(peer, action.Peer) })
	}
}

func (e *Entry) askContact(peer peerRecord, suspect string) {
	reply, err := e.callPeer(e.ctx, peer, &pb.Frame{Body: &pb.Frame_PeerQuery{PeerQuery: &pb.PeerQuery{
		Entry: e.incarnation, Suspects: []string{suspect},
	}}}, peerTimeout)
	if err != nil || reply.GetPeerStatus() == nil {
		return
	}
	for _, contact := range reply.GetPeerStatus().Contacts {
		e.do(e.ctx, func(c *control) {
			c.onMembership(c.members.Answer(e.now(), membership.Contact{
				Peer: contact.VmId, Incarnation: contact.Incarnation, Heard: contact.Heard,
				Age: time.Duration(contact.HeardAgeUs) * time.Microsecond,
			}))
		})
	}
}

// peers lists the other live entries.
func (e *Entry) peers(ctx context.Context) []peerRecord {
	list, _ := ask(ctx, e, func(c *control) []peerRecord {
		var out []peerRecord
		for _, id := range c.otherEntries() {
			out = append(out, c.peers[id])
		}
		return out
	})
	return list
}

// callPeer asks one question on a session of its own. Questions are rare: on
// suspicion, on takeover, for a job of another owner, for an answer that
// another entry holds.
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

// askPeerForAnswer asks another entry for an answer; NotFound means that it
// holds none.
func (e *Entry) askPeerForAnswer(ctx context.Context, peer peerRecord, id string) (structs.Answer, error) {
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

// storeContact reports whether the list of live entries is fresh.
func (e *Entry) storeContact(ctx context.Context) bool {
	fresh, ok := ask(ctx, e, func(c *control) bool { return c.storeContact() })
	return ok && fresh
}

func (c *control) storeContact() bool {
	return c.jobs.readAt > 0 && c.entry.now()-c.jobs.readAt < 3*c.entry.opts.StoreTimes.Poll
}

func codedError(err error) *rescode.Error {
	var coded *rescode.Error
	if errors.As(err, &coded) {
		return coded
	}
	return nil
}
