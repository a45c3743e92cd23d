package api

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"

	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Limits bounds the input of the API.
type Limits struct {
	MaxBodyBytes int64
	MaxTimeout   time.Duration
	Metrics      bool // serve /debug/vars
}

// Bounds of a connection of a caller. There is no write timeout, because a
// request may run for minutes.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second // headers and body
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 * 1024
)

// NewServer returns the HTTP server for a handler made by NewHandler.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// server holds what the handlers need.
type server struct {
	service Service
	limits  Limits
	logger  *log.Logger
}

// NewHandler returns the HTTP API over the service.
func NewHandler(service Service, limits Limits, logger *log.Logger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	s := &server{service, limits, logger}
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.UseRawPath = true
	g.Use(s.recover, trace)
	unsupported := func(c *gin.Context) {
		s.fail(c, rescode.Errorf(rescode.UnsupportedEndpoint, "%s %s does not exist", c.Request.Method, c.Request.URL.Path))
	}
	g.NoRoute(unsupported)
	g.NoMethod(unsupported)
	s.routes(g)
	return g
}

func (s *server) routes(g *gin.Engine) {
	v1 := g.Group("/v1")
	v1.POST("/requests", s.submitRequest)
	v1.GET("/requests/:id", s.fetchAnswer)
	v1.POST("/jobs", s.submitJob)
	v1.GET("/jobs", s.listJobs)
	v1.GET("/jobs/:id", s.jobByID(s.service.GetJob))
	v1.DELETE("/jobs/:id", s.jobByID(s.service.CancelJob))
	objects(s, v1.Group("/templates"), objectCalls[structs.Template]{
		name: func(t *structs.Template) *string { return &t.Name }, check: CheckTemplate,
		get: s.service.GetTemplate, set: s.service.SetTemplate, remove: s.service.DeleteTemplate,
		list: func(ctx context.Context) (any, error) {
			l, err := s.service.ListTemplates(ctx)
			return TemplateList{nonNil(l)}, err
		},
	})
	objects(s, v1.Group("/customers"), objectCalls[structs.Customer]{
		name: func(c *structs.Customer) *string { return &c.Name }, check: CheckCustomer,
		get: s.service.GetCustomer, set: s.service.SetCustomer, remove: s.service.DeleteCustomer,
		list: func(ctx context.Context) (any, error) {
			l, err := s.service.ListCustomers(ctx)
			return CustomerList{nonNil(l)}, err
		},
	})
	v1.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, s.service.Status(c.Request.Context())) })
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", s.ready)
	if s.limits.Metrics {
		g.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	}
}

// nonNil makes an empty list encode as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// recover answers a panic of a handler with an internal error.
func (s *server) recover(c *gin.Context) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		s.logger.Error("handler panicked", "path", c.Request.URL.Path, "panic", p, "stack", string(debug.Stack()))
		if !c.Writer.Written() {
			s.fail(c, rescode.Errorf(rescode.Internal, "the handler panicked"))
		}
		c.Abort()
	}()
	c.Next()
}

// trace continues the caller's trace or starts one.
func trace(c *gin.Context) {
	ctx := obs.WithTraceparent(c.Request.Context(), c.GetHeader(HeaderTraceparent))
	ctx, span := obs.StartSpan(ctx, "api "+c.Request.Method+" "+c.FullPath())
	defer span.End()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

func (s *server) fail(c *gin.Context, err error) { s.failWith(c, err, nil) }

func (s *server) failWith(c *gin.Context, err error, current any) {
	code := rescode.Of(err)
	body := ErrorBody{Code: code, Message: err.Error(), Outcome: code.Outcome().String()}
	var coded *rescode.Error
	if errors.As(err, &coded) {
		body.Field = coded.Field
		body.Message = code.String()
		if coded.Err != nil {
			body.Message = coded.Err.Error()
		}
	}
	if code == rescode.Internal {
		s.logger.Error("call failed", "path", c.Request.URL.Path, "err", err)
	}
	if current != nil {
		encoded, err := json.Marshal(current)
		if err != nil {
			s.logger.Error("current object not encoded", "err", err)
		}
		body.Current = encoded
	}
	c.JSON(HTTPStatus(code), body)
}

func (s *server) submitRequest(c *gin.Context) {
	in, err := readRequest(c.Request.Body, c.Request.Header, s.limits)
	if err != nil {
		s.fail(c, err)
		return
	}
	s.answer(c)(s.service.SubmitRequest(c.Request.Context(), in))
}

func (s *server) fetchAnswer(c *gin.Context) {
	if err := checkName("id", c.Param("id")); err != nil {
		s.fail(c, err)
		return
	}
	s.answer(c)(s.service.FetchAnswer(c.Request.Context(), c.Param("id")))
}

func (s *server) answer(c *gin.Context) func(structs.Answer, error) {
	return func(a structs.Answer, err error) {
		if err != nil {
			s.fail(c, err)
			return
		}
		c.JSON(HTTPStatus(a.Code), NewAnswerBody(a))
	}
}

func (s *server) submitJob(c *gin.Context) {
	in, err := readJob(c.Request.Body, c.Request.Header, s.limits)
	if err != nil {
		s.fail(c, err)
		return
	}
	job, err := s.service.SubmitJob(c.Request.Context(), in)
	if err != nil {
		s.fail(c, err)
		return
	}
	c.JSON(http.StatusCreated, job)
}

func (s *server) listJobs(c *gin.Context) {
	jobs, err := s.service.ListJobs(c.Request.Context())
	if err != nil {
		s.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, JobList{nonNil(jobs)})
}

func (s *server) jobByID(call func(context.Context, string) (structs.Job, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		if err := checkName("id", c.Param("id")); err != nil {
			s.fail(c, err)
			return
		}
		job, err := call(c.Request.Context(), c.Param("id"))
		if err != nil {
			s.fail(c, err)
			return
		}
		c.JSON(http.StatusOK, job)
	}
}

func (s *server) ready(c *gin.Context) {
	if !s.service.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// objectCalls are the calls of the service for one kind of configuration.
type objectCalls[T any] struct {
	name   func(*T) *string
	check  func(T) error
	get    func(context.Context, string) (T, error)
	list   func(context.Context) (any, error)
	set    func(context.Context, T, uint64) (T, error)
	remove func(context.Context, string, uint64) error
}

// objects registers the routes of one kind of configuration.
func objects[T any](s *server, g *gin.RouterGroup, calls objectCalls[T]) {
	g.GET("", func(c *gin.Context) {
		list, err := calls.list(c.Request.Context())
		if err != nil {
			s.fail(c, err)
			return
		}
		c.JSON(http.StatusOK, list)
	})
	g.GET("/:name", func(c *gin.Context) {
		if err := checkName("name", c.Param("name")); err != nil {
			s.fail(c, err)
			return
		}
		object, err := calls.get(c.Request.Context(), c.Param("name"))
		if err != nil {
			s.fail(c, err)
			return
		}
		c.JSON(http.StatusOK, object)
	})
	g.PUT("/:name", func(c *gin.Context) { putObject(s, c, calls) })
	g.DELETE("/:name", func(c *gin.Context) { deleteObject(s, c, calls) })
}

func putObject[T any](s *server, c *gin.Context, calls objectCalls[T]) {
	var object T
	expected, err := readVersion(c.Request.Header)
	if err == nil {
		err = decode(c.Request.Body, s.limits.MaxBodyBytes, &object)
	}
	if err == nil {
		err = first(nameOf(c, calls.name(&object)), calls.check(object))
	}
	if err != nil {
		s.fail(c, err)
		return
	}
	stored, err := calls.set(c.Request.Context(), object, expected)
	switch {
	case rescode.Of(err) == rescode.VersionConflict && *calls.name(&stored) != "":
		s.failWith(c, err, stored)
	case err != nil:
		s.fail(c, err)
	case expected == 0:
		c.JSON(http.StatusCreated, stored)
	default:
		c.JSON(http.StatusOK, stored)
	}
}

func deleteObject[T any](s *server, c *gin.Context, calls objectCalls[T]) {
	name := c.Param("name")
	expected, err := readVersion(c.Request.Header)
	if err == nil {
		err = checkName("name", name)
	}
	if err == nil && expected == 0 {
		err = rescode.FieldErrorf(rescode.OutOfRange, HeaderIfMatch, "the version is required")
	}
	if err != nil {
		s.fail(c, err)
		return
	}
	err = calls.remove(c.Request.Context(), name, expected)
	if rescode.Of(err) == rescode.VersionConflict {
		// The service reports no object for a delete; the current one is read
		// after the conflict and may be newer.
		if current, getErr := calls.get(c.Request.Context(), name); getErr == nil {
			s.failWith(c, err, current)
			return
		}
	}
	if err != nil {
		s.fail(c, err)
		return
	}
	c.Status(http.StatusNoContent)
}
