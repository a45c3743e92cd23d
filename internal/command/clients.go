package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/client"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// maxFileBytes is the largest size of a file that holds an object.
const maxFileBytes = 1 << 20

// clientFlags are the flags that all client commands have.
type clientFlags struct {
	Entry  []string      `default:"http://127.0.0.1:8080" sep:"," env:"VANILLALOCK_ENTRY" help:"Base URL of an entry; several are tried in order." placeholder:"URL"`
	Output string        `default:"text" enum:"text,json" help:"Output format: text or json."`
	Wait   time.Duration `default:"30s" help:"Time limit of the call."`
}

// withClient calls f with a client of the entries and a context that ends after
// Wait.
func (c clientFlags) withClient(s *invocation, f func(context.Context, *client.Client) error) error {
	cl, err := client.New(c.Entry, nil)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Wait)
	defer cancel()
	return f(ctx, cl)
}

// print writes v as JSON or the rows as a table, as the flag --output selects.
func (c clientFlags) print(s *invocation, v any, rows ...[]any) error {
	if c.Output == "json" {
		e := json.NewEncoder(s.streams.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(s.streams.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// readObject decodes the JSON value in a file, or in standard input for "-".
// Unknown fields and trailing data are errors.
func readObject(s *invocation, path string, into any) error {
	data, err := readInput(s, path)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return usageError{fmt.Errorf("decoding %s: %w", path, err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return usageError{fmt.Errorf("%s has data after the JSON value", path)}
	}
	return nil
}

// readInput reads a file, or standard input for "-", of at most maxFileBytes.
func readInput(s *invocation, path string) ([]byte, error) {
	in := s.in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, usageError{err}
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, usageError{fmt.Errorf("reading %s: %w", path, err)}
	}
	if len(data) > maxFileBytes {
		return nil, usageError{fmt.Errorf("%s exceeds %d bytes", path, maxFileBytes)}
	}
	return data, nil
}

type requestCmd struct {
	Submit requestSubmitCmd `cmd:"" help:"Run a request and wait for its answer."`
	Get    requestGetCmd    `cmd:"" help:"Fetch the answer of an earlier request."`
}

// Help implements kong.HelpProvider.
func (requestCmd) Help() string {
	return "Example: vanillalock request submit --template gate-check --customer park-7"
}

type requestSubmitCmd struct {
	clientFlags
	Template  string            `required:"" help:"Name of the template."`
	Customer  string            `required:"" help:"Name of the customer."`
	Key       string            `help:"Idempotency key; required for a non-idempotent template."`
	ID        string            `name:"id" help:"Request id; assigned if empty."`
	Timeout   time.Duration     `help:"Time allowed for the request; that of the template if 0."`
	Parameter map[string]string `short:"p" help:"Parameter, NAME=VALUE; may be repeated." placeholder:"NAME=VALUE"`
}

// Help implements kong.HelpProvider.
func (requestSubmitCmd) Help() string {
	return "Example: vanillalock request submit --template gate-check --customer park-7 -p ticket=41"
}

// Run submits the request.
func (c requestSubmitCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		a, err := cl.SubmitRequest(ctx, api.RequestInput{ID: c.ID, IdempotencyKey: c.Key, Template: c.Template,
			Customer: c.Customer, Parameters: c.Parameter, Timeout: c.Timeout})
		if err != nil {
			return err
		}
		return c.printAnswer(s, a)
	})
}

// printAnswer prints the answer. It returns an error for every code other than OK,
// so that the code determines the exit code.
func (c clientFlags) printAnswer(s *invocation, a api.AnswerBody) error {
	body := string(a.Body)
	if len(a.BodyBase64) > 0 {
		body = fmt.Sprintf("%d bytes that are not text", len(a.BodyBase64))
	}
	err := c.print(s, a, []any{"request", a.RequestID}, []any{"outcome", a.Outcome}, []any{"code", a.Code}, []any{"detail", a.Detail},
		[]any{"upstream", a.Upstream}, []any{"body", body})
	if err != nil || a.Code == rescode.OK {
		return err
	}
	return rescode.Errorf(a.Code, "request %s: %s", a.RequestID, a.Code)
}

type requestGetCmd struct {
	clientFlags
	ID string `arg:"" help:"Request id."`
}

// Help implements kong.HelpProvider.
func (requestGetCmd) Help() string { return "Example: vanillalock request get r-41" }

// Run fetches the answer.
func (c requestGetCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		a, err := cl.FetchAnswer(ctx, c.ID)
		if err != nil {
			return err
		}
		return c.printAnswer(s, a)
	})
}

type jobCmd struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job."`
	Status jobStatusCmd `cmd:"" help:"Show a job."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel a job."`
	List   jobListCmd   `cmd:"" help:"List jobs."`
}

// Help implements kong.HelpProvider.
func (jobCmd) Help() string {
	return "Example: vanillalock job submit --template render --customer home-3"
}

type jobSubmitCmd struct {
	clientFlags
	Template  string            `required:"" help:"Name of the template."`
	Customer  string            `required:"" help:"Name of the customer."`
	Count     int               `default:"1" help:"Number of tasks."`
	MilliCPU  *int64            `name:"milli-cpu" and:"resources" help:"Processors of a task in thousandths of a core; with --memory-mb replaces the template's resources."`
	MemoryMB  *int64            `name:"memory-mb" and:"resources" help:"Memory of a task in MiB."`
	Devices   int64             `name:"accelerators" help:"Accelerators of a task, with --milli-cpu and --memory-mb."`
	Key       string            `help:"Idempotency key: a repeated submission returns the same job."`
	Parameter map[string]string `short:"p" help:"Parameter, NAME=VALUE; may be repeated." placeholder:"NAME=VALUE"`
}

// Help implements kong.HelpProvider.
func (jobSubmitCmd) Help() string {
	return "Example: vanillalock job submit --template render --customer home-3 --count 4 --key render-2026-12"
}

// Run submits the job.
func (c jobSubmitCmd) Run(s *invocation) error {
	in := api.JobInput{Key: c.Key, Template: c.Template, Customer: c.Customer, Count: c.Count, Parameters: c.Parameter}
	switch {
	case c.MilliCPU != nil && c.MemoryMB != nil:
		in.Resources = &structs.Resources{MilliCPU: *c.MilliCPU, MemoryMB: *c.MemoryMB, Accelerators: c.Devices}
	case c.Devices != 0:
		return usageError{errors.New("--accelerators requires --milli-cpu and --memory-mb")}
	}
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		job, err := cl.SubmitJob(ctx, in)
		if err != nil {
			return err
		}
		return c.printJobs(s, job, job)
	})
}

// printJobs prints v as JSON or a table with one line for each job.
func (c clientFlags) printJobs(s *invocation, v any, jobs ...structs.Job) error {
	rows := [][]any{{"JOB", "TEMPLATE", "CUSTOMER", "TASKS", "STATES"}}
	for _, j := range jobs {
		states := map[structs.TaskState]int{}
		for _, t := range j.Tasks {
			states[t.State]++
		}
		rows = append(rows, []any{j.ID, j.Template, j.Customer, len(j.Tasks), fmt.Sprint(states)[len("map"):]})
	}
	return c.print(s, v, rows...)
}

type jobStatusCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Help implements kong.HelpProvider.
func (jobStatusCmd) Help() string { return "Example: vanillalock job status j-17" }

// Run shows the job.
func (c jobStatusCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		job, err := cl.GetJob(ctx, c.ID)
		if err != nil {
			return err
		}
		return c.printJobs(s, job, job)
	})
}

type jobCancelCmd struct {
	clientFlags
	ID string `arg:"" help:"Job id."`
}

// Help implements kong.HelpProvider.
func (jobCancelCmd) Help() string { return "Example: vanillalock job cancel j-17" }

// Run cancels the job.
func (c jobCancelCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		job, err := cl.CancelJob(ctx, c.ID)
		if err != nil {
			return err
		}
		return c.printJobs(s, job, job)
	})
}

type jobListCmd struct{ clientFlags }

// Help implements kong.HelpProvider.
func (jobListCmd) Help() string { return "Example: vanillalock job list --output json" }

// Run lists the jobs.
func (c jobListCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		jobs, err := cl.ListJobs(ctx)
		if err != nil {
			return err
		}
		return c.printJobs(s, api.JobList{Jobs: jobs}, jobs...)
	})
}

type statusCmd struct{ clientFlags }

// Help implements kong.HelpProvider.
func (statusCmd) Help() string { return "Example: vanillalock status --entry http://127.0.0.1:8080" }

// Run shows the status of the first entry that can be reached.
func (c statusCmd) Run(s *invocation) error {
	return c.withClient(s, func(ctx context.Context, cl *client.Client) error {
		st, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		rows := [][]any{{"entry", st.Entry}, {"failure domain", st.FailureDomain}, {"ready", st.Ready}, {"leaving", st.Leaving},
			{"key-value contact", st.StoreContact}, {"configuration revision", st.ConfigRevision}, {"members", st.Members},
			{"owned shards", st.OwnedShards}, {"in flight", st.InFlight}, {"queued", st.Queued}, {"tasks", st.Tasks}}
		for _, u := range st.Upstreams {
			rows = append(rows, []any{"upstream " + u.ID, fmt.Sprintf("%s, %d of %d slots, %d queued", u.State, u.SlotsBusy, u.Slots, u.Queued)})
		}
		return c.print(s, st, rows...)
	})
}
