package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/structs"
)

// objectType provides what the generic commands need to know of a kind of
// configuration object.
type objectType interface {
	kind() api.ObjectKind
	nameOf(object any) string
	newObject() any
}

type templateType struct{}

func (templateType) kind() api.ObjectKind     { return api.KindTemplate }
func (templateType) newObject() any           { return new(structs.Template) }
func (templateType) nameOf(object any) string { return object.(*structs.Template).Name }

type customerType struct{}

func (customerType) kind() api.ObjectKind     { return api.KindCustomer }
func (customerType) newObject() any           { return new(structs.Customer) }
func (customerType) nameOf(object any) string { return object.(*structs.Customer).Name }

type templateCmd struct {
	List   templateListCmd         `cmd:"" help:"List templates."`
	Get    getCmd[templateType]    `cmd:"" help:"Show a template."`
	Set    setCmd[templateType]    `cmd:"" help:"Create or replace a template."`
	Delete deleteCmd[templateType] `cmd:"" help:"Delete a template."`
}

type customerCmd struct {
	List   customerListCmd         `cmd:"" help:"List customers."`
	Get    getCmd[customerType]    `cmd:"" help:"Show a customer."`
	Set    setCmd[customerType]    `cmd:"" help:"Create or replace a customer."`
	Delete deleteCmd[customerType] `cmd:"" help:"Delete a customer."`
}

// Help implements kong.HelpProvider.
func (templateCmd) Help() string { return "Example: vanillalock template set -f slot-check.json" }

type templateListCmd struct{ clientFlags }

// Help implements kong.HelpProvider.
func (templateListCmd) Help() string { return "Example: vanillalock template list" }

// Run lists the templates.
func (c templateListCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		list, err := cl.ListTemplates(ctx)
		if err != nil {
			return err
		}
		rows := [][]any{{"TEMPLATE", "VERSION", "KIND", "QOS"}}
		for _, t := range list {
			rows = append(rows, []any{t.Name, t.Version, t.Kind, t.QoS})
		}
		return c.print(s, api.TemplateList{Templates: list}, rows...)
	})
}

// Help implements kong.HelpProvider.
func (customerCmd) Help() string { return "Example: vanillalock customer set -f tivoli-park.json" }

type customerListCmd struct{ clientFlags }

// Help implements kong.HelpProvider.
func (customerListCmd) Help() string { return "Example: vanillalock customer list" }

// Run lists the customers.
func (c customerListCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		list, err := cl.ListCustomers(ctx)
		if err != nil {
			return err
		}
		rows := [][]any{{"CUSTOMER", "VERSION", "TEAM"}}
		for _, u := range list {
			rows = append(rows, []any{u.Name, u.Version, u.Team})
		}
		return c.print(s, api.CustomerList{Customers: list}, rows...)
	})
}

// printObject prints an object as JSON whatever the output format, because an
// operator edits that form and passes it to the set command.
func printObject(s *invocation, object any) error {
	e := json.NewEncoder(s.streams.Out)
	e.SetIndent("", "  ")
	return e.Encode(object)
}

type getCmd[T objectType] struct {
	clientFlags
	Name string `arg:"" help:"Name of the object."`
}

// Help implements kong.HelpProvider.
func (getCmd[T]) Help() string {
	var t T
	return fmt.Sprintf("Example: vanillalock %s get NAME > object.json", t.kind())
}

// Run shows the object.
func (c getCmd[T]) Run(s *invocation) error {
	var t T
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		object := t.newObject()
		if err := cl.GetObject(ctx, t.kind(), c.Name, object); err != nil {
			return err
		}
		return printObject(s, object)
	})
}

type setCmd[T objectType] struct {
	clientFlags
	File    string `short:"f" required:"" help:"JSON file with the object; - for standard input." placeholder:"FILE"`
	Version uint64 `help:"Version that is replaced; 0 creates the object." default:"0"`
}

// Help implements kong.HelpProvider.
func (setCmd[T]) Help() string {
	var t T
	return fmt.Sprintf("Example: vanillalock %s set -f object.json --version 3", t.kind())
}

// Run writes the object. On a conflict it prints the current object.
func (c setCmd[T]) Run(s *invocation) error {
	var t T
	object, stored := t.newObject(), t.newObject()
	if err := readObject(s, c.File, object); err != nil {
		return err
	}
	if t.nameOf(object) == "" {
		return usageError{fmt.Errorf("%s: the object has no name", c.File)}
	}
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		if err := cl.SetObject(ctx, t.kind(), t.nameOf(object), object, c.Version, stored); err != nil {
			return printConflict(s, err)
		}
		return printObject(s, stored)
	})
}

// printConflict returns err. If err is a version conflict, it first prints the
// current object.
func printConflict(s *invocation, err error) error {
	var failure *client.APIError
	if errors.As(err, &failure) && len(failure.Current) > 0 {
		fmt.Fprintf(s.streams.Err, "current object: %s\n", failure.Current)
	}
	return err
}

type deleteCmd[T objectType] struct {
	clientFlags
	Name    string `arg:"" help:"Name of the object."`
	Version uint64 `required:"" help:"Version that is deleted."`
}

// Help implements kong.HelpProvider.
func (deleteCmd[T]) Help() string {
	var t T
	return fmt.Sprintf("Example: vanillalock %s delete NAME --version 3", t.kind())
}

// Run deletes the object.
func (c deleteCmd[T]) Run(s *invocation) error {
	var t T
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		return printConflict(s, cl.DeleteObject(ctx, t.kind(), c.Name, c.Version))
	})
}
