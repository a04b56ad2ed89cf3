package operator

import (
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// ProblemKind classifies problems, so that a client can decide what to do next.
type ProblemKind string

// The kinds of problem.
const (
	ProblemInvalid   ProblemKind = "invalid"   // the request is invalid; nothing was done
	ProblemRace      ProblemKind = "race"      // another operator's change came first; nothing was done
	ProblemUnknown   ProblemKind = "unknown"   // it isn't known whether the change was accepted
	ProblemPlatform  ProblemKind = "platform"  // the platform can't be used now; nothing was done
	ProblemNotFound  ProblemKind = "not-found" // the named object, version or route does not exist
	ProblemForbidden ProblemKind = "forbidden" // the certificate doesn't allow it
	ProblemFailed    ProblemKind = "failed"    // anything else; nothing was done
)

// Problem is the response body that reports an error.
type Problem struct {
	Kind     ProblemKind         `json:"kind"`
	Msg      string              `json:"msg"`
	ChangeID string              `json:"change_id,omitempty"`
	Version  int64               `json:"version,omitempty"` // version in force, for ProblemRace
	Changed  []string            `json:"changed,omitempty"` // IDs of the objects that the other change modified
	Faults   []config.FieldError `json:"faults,omitempty"`
}

// Error returns the message.
func (p *Problem) Error() string { return p.Msg }

// toProblem returns the HTTP status and the problem that report err.
func toProblem(err error) (int, Problem) {
	var (
		invalid  *config.InvalidError
		noObject *config.ObjectNotFoundError
		race     *node.RaceError
		doubt    *node.InDoubtError
		refused  *store.RefusedError
		noVer    *node.NoVersionError
		noRoute  *node.NoRouteError
	)
	p := Problem{Kind: ProblemFailed, Msg: err.Error()}
	switch {
	case errors.As(err, &invalid):
		p.Kind, p.Faults = ProblemInvalid, invalid.Faults
		return http.StatusUnprocessableEntity, p
	case errors.As(err, &doubt):
		p.Kind, p.ChangeID = ProblemUnknown, doubt.ID
		return http.StatusGatewayTimeout, p
	case errors.As(err, &race):
		p.Kind, p.Version, p.Changed = ProblemRace, race.Have, race.Changed
		return http.StatusConflict, p
	case errors.As(err, &noObject), errors.As(err, &noVer), errors.As(err, &noRoute):
		p.Kind = ProblemNotFound
		return http.StatusNotFound, p
	case errors.As(err, &refused):
		p.Kind = ProblemPlatform
		return http.StatusServiceUnavailable, p
	default:
		return http.StatusInternalServerError, p
	}
}

// writeProblem responds with the problem that reports err, and aborts the request.
func writeProblem(c *gin.Context, err error) {
	status, p := toProblem(err)
	c.AbortWithStatusJSON(status, p)
}
