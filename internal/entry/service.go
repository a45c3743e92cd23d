package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"vanillalock.example/vanillalock/coord/membership"
	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/configstore"
	"vanillalock.example/vanillalock/internal/request/outlier"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

var _ api.Service = (*Entry)(nil)

var errStopped = rescode.Errorf(rescode.Leaving, "the entry is shutting down")

// Ready implements api.Service.
func (e *Entry) Ready() bool {
	ready, ok := queryControl(context.Background(), e, func(c *control) bool { return c.configLoaded && !c.leaving })
	return ok && ready
}

func templatesOf(c *control) map[string]structs.Template { return c.templates }

func customersOf(c *control) map[string]structs.Customer { return c.customers }

// getObject returns the configuration object in force with the given name, or a
// NotFound error for field.
func getObject[T any](ctx context.Context, e *Entry, name, field string, objectsOf func(*control) map[string]T) (T, error) {
	var zero T
	object, ok := queryControl(ctx, e, func(c *control) *T {
		if o, exists := objectsOf(c)[name]; exists {
			return &o
		}
		return nil
	})
	switch {
	case !ok:
		return zero, errStopped
	case object == nil:
		return zero, rescode.FieldErrorf(rescode.NotFound, field, "%q does not exist", name)
	}
	return *object, nil
}

// listObjects returns the configuration objects in force, ordered by name.
func listObjects[T any](ctx context.Context, e *Entry, objectsOf func(*control) map[string]T) ([]T, error) {
	list, ok := queryControl(ctx, e, func(c *control) []T {
		objects := objectsOf(c)
		out := make([]T, 0, len(objects))
		for _, name := range slices.Sorted(maps.Keys(objects)) {
			out = append(out, objects[name])
		}
		return out
	})
	if !ok {
		return nil, errStopped
	}
	return list, nil
}

// GetTemplate implements api.Service.
func (e *Entry) GetTemplate(ctx context.Context, name string) (structs.Template, error) {
	return getObject(ctx, e, name, "template", templatesOf)
}

// ListTemplates implements api.Service.
func (e *Entry) ListTemplates(ctx context.Context) ([]structs.Template, error) {
	return listObjects(ctx, e, templatesOf)
}

// SetTemplate implements api.Service.
func (e *Entry) SetTemplate(ctx context.Context, t structs.Template, expected uint64) (structs.Template, error) {
	t.Version, t.Deleted = 0, false
	value, err := json.Marshal(t)
	if err != nil {
		return structs.Template{}, rescode.Errorf(rescode.Internal, "encode template: %w", err)
	}
	o, err := e.edit(ctx, func(ctx context.Context) (configstore.Object, error) {
		return e.config.Put(ctx, configstore.Template, t.Name, value, expected)
	})
	var stored structs.Template
	if len(o.JSON) > 0 && json.Unmarshal(o.JSON, &stored) == nil {
		stored.Name, stored.Version = t.Name, o.Version
	}
	return stored, err
}

// DeleteTemplate implements api.Service.
func (e *Entry) DeleteTemplate(ctx context.Context, name string, expected uint64) error {
	_, err := e.edit(ctx, func(ctx context.Context) (configstore.Object, error) {
		return e.config.Delete(ctx, configstore.Template, name, expected)
	})
	return err
}

// GetCustomer implements api.Service.
func (e *Entry) GetCustomer(ctx context.Context, name string) (structs.Customer, error) {
	return getObject(ctx, e, name, "customer", customersOf)
}

// ListCustomers implements api.Service.
func (e *Entry) ListCustomers(ctx context.Context) ([]structs.Customer, error) {
	return listObjects(ctx, e, customersOf)
}

// SetCustomer implements api.Service.
func (e *Entry) SetCustomer(ctx context.Context, customer structs.Customer, expected uint64) (structs.Customer, error) {
	customer.Version, customer.Deleted = 0, false
	value, err := json.Marshal(customer)
	if err != nil {
		return structs.Customer{}, rescode.Errorf(rescode.Internal, "encode customer: %w", err)
	}
	o, err := e.edit(ctx, func(ctx context.Context) (configstore.Object, error) {
		return e.config.Put(ctx, configstore.Customer, customer.Name, value, expected)
	})
	var stored structs.Customer
	if len(o.JSON) > 0 && json.Unmarshal(o.JSON, &stored) == nil {
		stored.Name, stored.Version = customer.Name, o.Version
	}
	return stored, err
}

// DeleteCustomer implements api.Service.
func (e *Entry) DeleteCustomer(ctx context.Context, name string, expected uint64) error {
	_, err := e.edit(ctx, func(ctx context.Context) (configstore.Object, error) {
		return e.config.Delete(ctx, configstore.Customer, name, expected)
	})
	return err
}

// edit writes one configuration change and applies the stored object at this
// entry at once; the other entries receive it through their watches. A conflict
// also returns and applies the stored object.
func (e *Entry) edit(ctx context.Context, write func(context.Context) (configstore.Object, error)) (configstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.opts.StoreTimes.CallTimeout)
	defer cancel()
	e.editMu.Lock()
	o, err := write(ctx)
	e.editMu.Unlock()
	if err == nil || configstore.IsConflict(err) && o.Version > 0 {
		e.postEvent(ctx, func(c *control) { c.applyConfig([]configstore.Object{o}) })
	}
	return o, err
}

// Status implements api.Service.
func (e *Entry) Status(ctx context.Context) api.EntryStatus {
	status, _ := queryControl(ctx, e, func(c *control) api.EntryStatus { return c.status() })
	return status
}

func (c *control) status() api.EntryStatus {
	e := c.entry
	urgent, batch := c.admission.Load()
	out := api.EntryStatus{
		Entry: e.incarnation, FailureDomain: e.opts.FailureDomain, Ready: c.configLoaded && !c.leaving, Leaving: c.leaving,
		StoreContact:   c.storeContact(),
		ConfigRevision: c.configSource.Revision(), MembersEpoch: c.verifier.Epoch(),
		InFlight: urgent.InFlight + batch.InFlight, Queued: urgent.Queued + batch.Queued, Tasks: map[string]int{}, Peers: c.otherEntries(),
	}
	if n := len(c.jobs.memberLists); n > 0 {
		out.Members = c.jobs.memberLists[n-1].Members
	}
	for id, s := range c.jobs.owned {
		out.OwnedShards = append(out.OwnedShards, id)
		if s.state == nil {
			continue
		}
		for state, n := range s.state.Counts() {
			if n > 0 {
				out.Tasks[string(state)] += n
			}
		}
	}
	sort.Slice(out.OwnedShards, func(i, j int) bool { return out.OwnedShards[i] < out.OwnedShards[j] })
	for id, a := range c.agents {
		out.Upstreams = append(out.Upstreams, c.upstreamStatus(id, a))
	}
	sort.Slice(out.Upstreams, func(i, j int) bool { return out.Upstreams[i].ID < out.Upstreams[j].ID })
	return out
}

func (c *control) upstreamStatus(id string, a *agentState) api.UpstreamStatus {
	s := api.UpstreamStatus{
		ID: id, Incarnation: a.node.Incarnation, FailureDomain: a.node.FailureDomain, Rack: a.node.Rack,
		Slots: a.node.Slots, Capacity: a.node.Capacity, State: c.stateName(id, a),
	}
	if a.load != nil {
		s.SlotsBusy, s.Queued, s.Reserved = int(a.load.SlotsBusy), int(a.load.Queued), resourcesOf(a.load.Reserved)
	}
	return s
}

// stateName returns the state of an upstream for the status output.
func (c *control) stateName(id string, a *agentState) string {
	state, _ := c.members.State(id)
	switch {
	case a.leaving:
		return "leaving"
	case a.session == nil || state != membership.Present:
		return "suspect"
	case c.outliers.State(id) != outlier.Healthy:
		return "ejected"
	case c.jobs.policy.quarantine.Quarantined(id, time.Now()):
		return "quarantined"
	}
	return "alive"
}
