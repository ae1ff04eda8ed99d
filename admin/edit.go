package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// decode reads a JSON body strictly, so that a misspelt field is no silent
// default.
func decode(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return problem(http.StatusBadRequest, "The body is not the JSON that this operation takes: "+err.Error(), "See docs/openapi.yaml.")
	}
	return nil
}

func (a *API) putRules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	in, err := rules.Parse(c.body)
	if err != nil {
		return err
	}
	return a.apply(w, r, c, func(content *config.Content) error {
		content.Rules = in
		return nil
	})
}

func (a *API) putCap(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	var limit rules.Cap
	if err := decode(c.body, &limit); err != nil {
		return err
	}
	limit.Service = p.ByName("service")
	return a.apply(w, r, c, func(content *config.Content) error {
		if limit.Service != rules.AnyService && content.Register.Service(limit.Service) == nil {
			return notFound("service", limit.Service, "/v1/services")
		}
		caps := content.Rules.Caps
		if i := capOf(caps, limit.Service); i >= 0 {
			caps[i] = limit
		} else {
			content.Rules.Caps = append(caps, limit)
		}
		return nil
	})
}

func capOf(caps []rules.Cap, service string) int {
	return slices.IndexFunc(caps, func(c rules.Cap) bool { return c.Service == service })
}

func notFound(kind, name, list string) error {
	return problem(http.StatusNotFound, "There is no "+kind+" "+name+".", "See "+list+".")
}

func (a *API) deleteCap(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	return a.apply(w, r, c, func(content *config.Content) error {
		i := capOf(content.Rules.Caps, p.ByName("service"))
		if i < 0 {
			return notFound("cap of service", p.ByName("service"), "/v1/caps")
		}
		content.Rules.Caps = slices.Delete(content.Rules.Caps, i, i+1)
		return nil
	})
}

func (a *API) postDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	var d rules.Drain
	if err := decode(c.body, &d); err != nil {
		return err
	}
	if d.By == "" {
		d.By = c.meta.By
	}
	if d.Reason == "" {
		d.Reason = c.meta.Why
	}
	return a.apply(w, r, c, func(content *config.Content) error {
		if err := knownTarget(content.Register, &d); err != nil {
			return err
		}
		if slices.ContainsFunc(content.Rules.Drains, func(o rules.Drain) bool { return o.ID == d.ID }) {
			return problem(http.StatusConflict, "There is a drain "+d.ID+" already.", "Choose another ID, or cancel that drain first.")
		}
		content.Rules.Drains = append(content.Rules.Drains, d)
		return nil
	})
}

// knownTarget refuses drains of places that the register doesn't name, which
// would silently do nothing. Entry VMs are not in the register.
func knownTarget(r *register.Register, d *rules.Drain) error {
	known := true
	switch d.Kind {
	case rules.TargetInstance:
		known = serviceOf(r, d.Target) != ""
	case rules.TargetDataCentre:
		known = r.RegionOf(d.Target) != ""
	case rules.TargetRegion:
		known = slices.Contains(r.RegionNames(), d.Target)
	}
	if !known {
		return problem(http.StatusUnprocessableEntity, "The register has no "+string(d.Kind)+" "+d.Target+".", "See /v1/places and /v1/services.")
	}
	return nil
}

func (a *API) deleteDrain(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxBody)
	if err != nil {
		return err
	}
	defer c.end()
	return a.apply(w, r, c, func(content *config.Content) error {
		i := slices.IndexFunc(content.Rules.Drains, func(d rules.Drain) bool { return d.ID == p.ByName("id") })
		if i < 0 {
			return notFound("drain", p.ByName("id"), "/v1/drains")
		}
		content.Rules.Drains = slices.Delete(content.Rules.Drains, i, i+1)
		return nil
	})
}

func (a *API) putRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.begin(w, r, a.o.MaxRegister)
	if err != nil {
		return err
	}
	defer c.end()
	next, err := register.Parse(c.body)
	if err != nil {
		return err
	}
	confirmed := r.URL.Query().Get("confirm") == "true"
	return a.apply(w, r, c, func(content *config.Content) error {
		impact, err := impactOf(*content, next)
		if err != nil {
			return err
		}
		if len(impact.Dropped) > 0 && !confirmed {
			p := problem(http.StatusUnprocessableEntity, "The import drops more than 20 % of something: "+impact.Dropped[0]+".",
				"Check the register; if it is right, send the import again with confirm=true.")
			p.Impact = impact
			return p
		}
		if len(impact.Dropped) > 0 {
			event.AdminConfirm.Log(a.o.Log, "change", c.meta.ChangeID, "by", c.meta.By, "dropped", impact.Dropped)
		}
		content.Register, content.Kept = next, nil
		return nil
	})
}

// previewRegister answers what an import would change; it changes nothing.
func (a *API) previewRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	if _, err := identify(r, s.Rules); err != nil {
		return err // A large body costs work, so that strangers may not send one.
	}
	end, err := a.alone(w, r)
	if err != nil {
		return err
	}
	defer end()
	body, err := readBody(w, r, a.o.MaxRegister)
	if err != nil {
		return err
	}
	next, err := register.Parse(body)
	if err != nil {
		return err
	}
	impact, err := impactOf(s.Bare(), next)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	reply(w, http.StatusOK, impact)
	return nil
}
