package lead

import (
	"context"
	"errors"
	"time"

	"vanillalock.example/vanillalock/internal/fleet/link"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// answer answers an entry's request in the leader's event loop. Requests wait until the
// state is read: before, a cancellation of a job that is not known yet would be lost,
// and waiting jobs counted too low.
func (l *Leader) answer(ctx context.Context, q *pb.FleetAsk) (*pb.FleetReply, error) {
	select {
	case <-l.loaded:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	replies := make(chan *pb.FleetReply, 1)
	if !l.post(ctx, func() { replies <- l.reply(q) }) {
		return nil, ctx.Err()
	}
	select {
	case reply := <-replies:
		if reply == nil {
			return nil, errors.New("no answer to this question")
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reply handles an entry's request. It returns nil if the kind is unknown.
func (l *Leader) reply(q *pb.FleetAsk) *pb.FleetReply {
	now := time.Now()
	switch q.GetKind() {
	case link.AskAccepted:
		// A job that was stored before what is watched, and is not known, has been removed.
		if q.GetRevision() > l.watched {
			l.addJob(q.GetJob(), q.GetRevision(), now)
		}
		return &pb.FleetReply{}
	case link.AskCancelled:
		l.ledger.Cancel(q.GetId(), now)
		return &pb.FleetReply{}
	case link.AskState:
		job := l.ledger.Jobs[q.GetId()]
		if job == nil {
			return &pb.FleetReply{}
		}
		return &pb.FleetReply{State: string(job.VisibleState())}
	case link.AskWaiting:
		return &pb.FleetReply{Waiting: uint32(l.ledger.Waiting(q.GetQueue()))}
	case link.AskFit:
		return l.answerFit(q, now)
	default:
		return nil
	}
}
