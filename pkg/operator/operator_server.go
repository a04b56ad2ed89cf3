package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/node"
)

// The paths of the API.
const (
	PathConfig   = "/v1/config"
	PathVersion  = "/v1/config/versions/:version"
	PathChanges  = "/v1/changes"
	PathChange   = "/v1/changes/:id"
	PathPreview  = "/v1/preview"
	PathVersions = "/v1/versions"
	PathStatus   = "/v1/status"
	PathDump     = "/v1/dump"
	PathHistory  = "/v1/history"
	PathExplain  = "/v1/explain"
	PathLeave    = "/v1/leave"
	PathRelease  = "/v1/key-ranges/release"
	PathMetrics  = "/metrics"
	PathJSON     = "/metrics.json"
	PathHealth   = "/healthz"
)

// maxRequestBytes limits the body of an operator's request.
const maxRequestBytes = 4 << 20

// Accepted is the response to a change that was accepted, and to a query whether it was.
type Accepted struct {
	Version  int64  `json:"version"` // 0 if the queried change wasn't accepted
	ChangeID string `json:"change_id"`
}

// Previewed is the response to a dry run of a change.
type Previewed struct {
	Differences []config.Difference `json:"differences"`
	Matches     []PolicyMatch       `json:"catches"`
}

// PolicyMatch lists the objects that a policy's selector would match.
type PolicyMatch struct {
	Policy  string   `json:"policy"`
	Objects []string `json:"objects"`
}

// ReleaseRequest names a VM that will not come back, whose key ranges get new owners.
type ReleaseRequest struct {
	VM string `json:"vm"`
}

// Released reports how many key ranges were given to other nodes.
type Released struct {
	Ranges int `json:"ranges"`
}

// Server serves the API of one daemon; it is ready to start once Node and Keys are set.
type Server struct {
	Node *node.Node
	Keys *keys.Store
	// Listen opens the listener; nil means net.Listen on TCP.
	Listen func(address string) (net.Listener, error)

	http *http.Server
}

// Handler returns the API's HTTP handler, without TLS.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	r.GET(PathHealth, func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET(PathStatus, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Status()) })
	r.GET(PathDump, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Dump()) })
	r.GET(PathMetrics, func(c *gin.Context) { s.Node.Metrics().WriteText(c.Writer) })
	r.GET(PathJSON, func(c *gin.Context) { s.Node.Metrics().WriteJSON(c.Writer) })
	r.GET(PathConfig, func(c *gin.Context) { c.JSON(http.StatusOK, s.Node.Document()) })
	r.GET(PathVersion, s.getVersion)
	r.GET(PathVersions, s.getVersions)
	r.GET(PathHistory, s.getHistory)
	r.GET(PathExplain, s.getExplain)
	r.GET(PathChange, s.getChange)
	w := r.Group("", s.requireReadWrite)
	w.POST(PathChanges, s.postChange)
	w.POST(PathPreview, s.postPreview)
	w.POST(PathLeave, s.postLeave)
	w.POST(PathRelease, s.postRelease)
	return http.MaxBytesHandler(r, maxRequestBytes)
}

// Start serves the API at the address over mutual TLS until Stop; the error is that of opening the listener.
func (s *Server) Start(address string) error {
	listen := s.Listen
	if listen == nil {
		listen = func(a string) (net.Listener, error) { return net.Listen("tcp", a) }
	}
	ln, err := listen(address)
	if err != nil {
		return err
	}
	cfg := s.Keys.ServerConfig([]string{"h2", "http/1.1"}, keys.RoleReadOnly, keys.RoleReadWrite)
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: nil}
	go func() { _ = s.http.Serve(tls.NewListener(ln, cfg)) }() // returns after Stop
	return nil
}

// Stop closes the listener and waits for requests in progress until ctx is done.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	return s.http.Shutdown(ctx)
}

// operatorIdentity returns the operator's identity from the client certificate of the request, or an error without a
// valid one.
func operatorIdentity(r *http.Request) (keys.Identity, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return keys.Identity{}, errors.New("no certificate")
	}
	return keys.IdentityOf(r.TLS.PeerCertificates[0])
}

// requireReadWrite aborts requests without a read-write operator's certificate.
func (s *Server) requireReadWrite(c *gin.Context) {
	id, err := operatorIdentity(c.Request)
	if err != nil || id.Role != keys.RoleReadWrite {
		c.AbortWithStatusJSON(http.StatusForbidden, Problem{
			Kind: ProblemForbidden, Msg: "this command needs a read-write operator's certificate",
		})
	}
}

// getVersion responds with one version of the configuration.
func (s *Server) getVersion(c *gin.Context) {
	v, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Field: "version", Msg: "isn't a number"}}})
		return
	}
	doc, err := s.Node.DocumentVersion(c, v)
	writeResult(c, doc, err)
}

// getVersions responds with the daemons that have the wanted version in force, have an older one or do not respond.
func (s *Server) getVersions(c *gin.Context) {
	want, err := strconv.ParseInt(c.DefaultQuery("want", "0"), 10, 64)
	if err != nil {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Field: "want", Msg: "isn't a number"}}})
		return
	}
	c.JSON(http.StatusOK, s.Node.ReportVersions(c, want))
}

// defaultHistoryVersions is the number of versions that a history query returns by default.
const defaultHistoryVersions = 20

// getHistory responds with the newest versions of the configuration.
func (s *Server) getHistory(c *gin.Context) {
	most, err := strconv.Atoi(c.DefaultQuery("most", strconv.Itoa(defaultHistoryVersions)))
	if err != nil {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Field: "most", Msg: "isn't a number"}}})
		return
	}
	list, err := s.Node.History(c, most)
	writeResult(c, list, err)
}

// getExplain responds with the routing and the policies that a request would get.
func (s *Server) getExplain(c *gin.Context) {
	e, err := s.Node.Explain(config.Match{Host: c.Query("host"), Method: c.DefaultQuery("method", "GET"), Path: c.DefaultQuery("path", "/")})
	writeResult(c, e, err)
}

// getChange responds with the version as which a change was accepted, or 0.
func (s *Server) getChange(c *gin.Context) {
	v, err := s.Node.ChangeVersion(c, c.Param("id"))
	writeResult(c, Accepted{Version: v, ChangeID: c.Param("id")}, err)
}

// postChange applies a change and responds with its version.
func (s *Server) postChange(c *gin.Context) {
	ch, ok := readChange(c)
	if !ok {
		return
	}
	doc, err := s.Node.Change(c, ch)
	if err != nil {
		writeProblem(c, err)
		return
	}
	c.JSON(http.StatusOK, Accepted{Version: doc.Version, ChangeID: doc.ChangeID})
}

// postPreview responds with the effects of a change without applying it.
func (s *Server) postPreview(c *gin.Context) {
	ch, ok := readChange(c)
	if !ok {
		return
	}
	diffs, objs, err := s.Node.Preview(c, ch)
	if err != nil {
		writeProblem(c, err)
		return
	}
	out := Previewed{Differences: diffs}
	for policy, matched := range config.PolicyMatches(objs) {
		out.Matches = append(out.Matches, PolicyMatch{policy, matched})
	}
	c.JSON(http.StatusOK, out)
}

// readChange decodes a change and sets its author from the certificate; on an error it responds with a problem and
// returns false.
func readChange(c *gin.Context) (config.Change, bool) {
	var ch config.Change
	if err := c.ShouldBindJSON(&ch); err != nil {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Msg: err.Error()}}})
		return ch, false
	}
	if ch.ID == "" {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Field: "id", Msg: "must be set"}}})
		return ch, false
	}
	if id, err := operatorIdentity(c.Request); err == nil {
		ch.Author = id.Name
	}
	return ch, true
}

// postLeave makes the daemon leave and responds with its status.
func (s *Server) postLeave(c *gin.Context) {
	s.Node.Leave("an operator's command")
	c.JSON(http.StatusOK, s.Node.Status())
}

// postRelease gives the key ranges of a lost VM to other nodes and responds with their number.
func (s *Server) postRelease(c *gin.Context) {
	var in ReleaseRequest
	if err := c.ShouldBindJSON(&in); err != nil || in.VM == "" {
		writeProblem(c, &config.InvalidError{Faults: []config.FieldError{{Field: "vm", Msg: "must be set"}}})
		return
	}
	count, err := s.Node.ReleaseRanges(c, in.VM)
	writeResult(c, Released{count}, err)
}

// writeResult responds with v in JSON, or with a problem if err is set.
func writeResult(c *gin.Context, v any, err error) {
	if err != nil {
		writeProblem(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}
