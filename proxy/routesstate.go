package proxy

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
)

// RoutesState says which routes a VM has in force. The zero value stands for a VM that doesn't
// state them.
type RoutesState struct {
	// Position is that of the operators' last change.
	Position history.Position
	// Version is that of the routes.
	Version uint64
}

// routesTracker is implemented by routers that know the state of their routes.
type routesTracker interface {
	RoutesState() RoutesState
}

// String returns the text of headerTransitRoutes.
func (s RoutesState) String() string {
	return fmt.Sprintf("%d.%d.%d", s.Position.Epoch, s.Position.Revision, s.Version)
}

func parseRoutesState(text string) (s RoutesState, err error) {
	_, err = fmt.Sscanf(text, "%d.%d.%d", &s.Position.Epoch, &s.Position.Revision, &s.Version)
	if err == nil && s.String() != text {
		err = errors.New("malformed")
	}
	return s, errors.Wrapf(err, "%s: %q", headerTransitRoutes, text)
}

// setTransitRoutes states the routes of this VM in its answer to another one.
func (x *exchange) setTransitRoutes(s RoutesState) {
	if s.Version > 0 {
		x.w.Header().Set(headerTransitRoutes, s.String())
	}
}

// routesOf returns the routes that another VM states in its answer.
func (a *attempt) routesOf(res *http.Response) RoutesState {
	text := res.Header.Get(headerTransitRoutes)
	if text == "" {
		return RoutesState{}
	}
	s, err := parseRoutesState(text)
	if err != nil {
		// The answer itself is not affected.
		event.TransitMalformed.Log(a.x.h.options.Log, "via", a.selection.Instance().ID, "error", err)
		return RoutesState{}
	}
	return s
}
