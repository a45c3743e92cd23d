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
	// watchDuration is the duration of one long poll of the configuration.
	watchDuration = 10 * time.Second
	// fullReadInterval is the time between two full reads of the configuration,
	// which pick up events that a watch has missed.
	fullReadInterval = 60 * time.Second
	// defaultStoreTimeout is the default timeout of one call to the key-value
	// service.
	defaultStoreTimeout = time.Second
	// storeRetryInterval is the delay after a failed read or watch of the
	// configuration.
	storeRetryInterval = 500 * time.Millisecond
	// defaultRecoverySpread is the default upper limit of the random delay of
	// reads after an outage of the key-value service. It keeps the entries from
	// all reading at the same moment when the service returns.
	defaultRecoverySpread = 5 * time.Second
)

// watchConfig applies configuration changes from the store until ctx ends. It
// alternates full reads with long polls.
func (e *Entry) watchConfig(ctx context.Context) {
	lastRead := time.Now()
	for ctx.Err() == nil {
		revision, err := e.listConfig(ctx)
		if err != nil {
			e.opts.Log.Debug("Configuration not read.", "err", err)
			e.sleep(storeRetryInterval + e.recoveryDelay(time.Since(lastRead)))
			continue
		}
		lastRead = time.Now()
		next := time.Now().Add(fullReadInterval)
		for ctx.Err() == nil && time.Now().Before(next) {
			watchCtx, cancel := context.WithTimeout(ctx, watchDuration)
			objects, seen, err := e.config.Watch(watchCtx, revision)
			cancel()
			if err != nil {
				e.sleep(storeRetryInterval)
				break
			}
			revision = seen
			if len(objects) > 0 {
				e.postEvent(ctx, func(c *control) { c.applyConfig(objects) })
			}
		}
	}
}

// recoveryDelay returns a random delay for the first read after an outage of
// the given length. The delay exceeds neither the outage nor
// StoreTimes.RecoverySpread.
func (e *Entry) recoveryDelay(outage time.Duration) time.Duration {
	limit := min(outage, e.opts.StoreTimes.RecoverySpread)
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

// listConfig reads and applies the whole configuration and returns its
// revision.
func (e *Entry) listConfig(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.CallTimeout)
	defer cancel()
	objects, revision, err := e.config.List(callCtx)
	if err != nil {
		return 0, err
	}
	e.postEvent(ctx, func(c *control) {
		c.configLoaded = true
		c.applyConfig(objects)
	})
	return revision, nil
}

// applyConfig puts objects in force and pushes the changed ones to the agents.
// An object with a lower version than the one in force is ignored.
func (c *control) applyConfig(objects []configstore.Object) {
	revision := c.configSource.Revision()
	changed := make([]propagation.Object, 0, len(objects))
	for _, o := range objects {
		revision = max(revision, o.Revision)
		changed = append(changed, propagation.Object{
			Key: propagation.Key{Kind: string(o.Kind), Name: o.Name}, Version: o.Version, Data: o.JSON, Deleted: o.Deleted,
		})
	}
	if err := c.configSource.Load(revision, changed); err != nil && !errors.Is(err, propagation.ErrTooLarge) {
		c.entry.opts.Log.Error("Configuration not applied.", "err", err)
		return
	}
	for _, o := range changed {
		c.decodeObject(o.Key)
	}
	for id, pushes := range c.configSource.Push() {
		if a := c.agents[id]; a != nil {
			c.pushConfig(a, pushes)
		}
	}
}

// decodeObject updates the decoded copy of one template or customer, and what
// is derived from it, from the object in force.
func (c *control) decodeObject(key propagation.Key) {
	o, exists := c.configSource.Get(key)
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

// lookup returns the template and the customer of a call. It fails if one of
// them does not exist or if the template is of another kind.
func (c *control) lookup(template, customer string, kind structs.TemplateKind) (structs.Template, structs.Customer, error) {
	if !c.configLoaded {
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

// mergeParameters merges the defaults of the template, the parameters of the
// customer and those of the call, in ascending order of precedence. It fails if
// the call has an undeclared parameter or lacks a required one.
func mergeParameters(t structs.Template, customer structs.Customer, given map[string]string) (map[string]string, error) {
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

// digest returns the first 16 bytes of the SHA-256 sum of content, in hex.
func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}
