package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"vanillalock.example/vanillalock/coord/propagation"
	"vanillalock.example/vanillalock/internal/configstore"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

const (
	// watchTime is the length of one long poll of the configuration.
	watchTime = 10 * time.Second
	// listInterval is the time between two full reads, which repair events that
	// a watch missed.
	listInterval = 60 * time.Second
	storeTimeout = time.Second
	storeRetry   = 500 * time.Millisecond
	// recoverySpread keeps the entries from reading everything at once when the
	// key-value service returns from an outage.
	recoverySpread = 5 * time.Second
)

// watchConfig follows the configuration in the store until ctx ends.
func (e *Entry) watchConfig(ctx context.Context) {
	lastRead := time.Now()
	for ctx.Err() == nil {
		revision, err := e.listConfig(ctx)
		if err != nil {
			e.opts.Log.Debug("Configuration not read.", "err", err)
			e.sleep(storeRetry + e.spread(time.Since(lastRead)))
			continue
		}
		lastRead = time.Now()
		next := time.Now().Add(listInterval)
		for ctx.Err() == nil && time.Now().Before(next) {
			watchCtx, cancel := context.WithTimeout(ctx, watchTime)
			objects, seen, err := e.config.Watch(watchCtx, revision)
			cancel()
			if err != nil {
				e.sleep(storeRetry)
				break
			}
			revision = seen
			if len(objects) > 0 {
				e.do(ctx, func(c *control) { c.applyConfig(objects) })
			}
		}
	}
}

// spread returns a random delay after an outage of the given length.
func (e *Entry) spread(outage time.Duration) time.Duration {
	limit := min(outage, e.opts.StoreTimes.Recover)
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

func (e *Entry) listConfig(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.Call)
	defer cancel()
	objects, revision, err := e.config.List(ctx)
	if err != nil {
		return 0, err
	}
	e.do(ctx, func(c *control) {
		c.loaded = true
		c.applyConfig(objects)
	})
	return revision, nil
}

// applyConfig takes objects over and pushes what changed to the agents. An
// object with a lower version than the known one changes nothing.
func (c *control) applyConfig(objects []configstore.Object) {
	revision := c.source.Revision()
	changed := make([]propagation.Object, 0, len(objects))
	for _, o := range objects {
		revision = max(revision, o.Revision)
		changed = append(changed, propagation.Object{
			Key: propagation.Key{Kind: string(o.Kind), Name: o.Name}, Version: o.Version, Data: o.JSON, Deleted: o.Deleted,
		})
	}
	if err := c.source.Load(revision, changed); err != nil && !errors.Is(err, propagation.ErrTooLarge) {
		c.entry.opts.Log.Error("Configuration not applied.", "err", err)
		return
	}
	for _, o := range changed {
		c.decode(o.Key)
	}
	for id, pushes := range c.source.Push() {
		if a := c.agents[id]; a != nil {
			c.push(a, pushes)
		}
	}
}

// decode refreshes the decoded copy of one object.
func (c *control) decode(key propagation.Key) {
	o, exists := c.source.Get(key)
	switch configstore.Kind(key.Kind) {
	case configstore.Template:
		delete(c.templates, key.Name)
		var t structs.Template
		if exists && json.Unmarshal(o.Data, &t) == nil {
			t.Name, t.Version = key.Name, o.Version
			c.templates[key.Name] = t
		}
	case configstore.Customer:
		delete(c.customers, key.Name)
		var customer structs.Customer
		if exists && json.Unmarshal(o.Data, &customer) == nil {
			customer.Name, customer.Version = key.Name, o.Version
			c.customers[key.Name] = customer
			c.admission.SetCustomer(key.Name, 1, customer.RequestsPerSecond/float64(c.entry.opts.Entries))
		} else {
			c.admission.RemoveCustomer(key.Name)
		}
		c.jobs.customerChanged(key.Name)
	}
}

// lookup returns the template and customer that a caller names.
func (c *control) lookup(template, customer string, kind structs.TemplateKind) (structs.Template, structs.Customer, error) {
	if !c.loaded {
		return structs.Template{}, structs.Customer{}, rescode.Errorf(rescode.NoConfiguration, "the configuration has not been read yet")
	}
	t, ok := c.templates[template]
	if !ok {
		return t, structs.Customer{}, rescode.FieldErrorf(rescode.UnknownTemplate, "template", "%q does not exist", template)
	}
	if t.Kind != kind {
		return t, structs.Customer{}, rescode.FieldErrorf(rescode.WrongTemplateKind, "template", "%q is a template of kind %s, not %s", template, t.Kind, kind)
	}
	cust, ok := c.customers[customer]
	if !ok {
		return t, cust, rescode.FieldErrorf(rescode.UnknownCustomer, "customer", "%q does not exist", customer)
	}
	return t, cust, nil
}

// parametersOf merges defaults of the template, parameters of the customer and
// the caller's own, in rising priority.
func parametersOf(t structs.Template, customer structs.Customer, given map[string]string) (map[string]string, error) {
	declared := make(map[string]bool, len(t.Parameters))
	merged := make(map[string]string, len(t.Parameters))
	for _, p := range t.Parameters {
		declared[p.Name] = true
		if p.Default != "" {
			merged[p.Name] = p.Default
		}
	}
	for name, value := range customer.Parameters[t.Name] {
		if declared[name] {
			merged[name] = value
		}
	}
	for name, value := range given {
		if !declared[name] {
			return nil, rescode.FieldErrorf(rescode.UnknownParameter, "parameters."+name, "template %q does not declare it", t.Name)
		}
		merged[name] = value
	}
	for _, p := range t.Parameters {
		if _, ok := merged[p.Name]; p.Required && !ok {
			return nil, rescode.FieldErrorf(rescode.MissingParameter, "parameters."+p.Name, "template %q requires it", t.Name)
		}
	}
	return merged, nil
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}
