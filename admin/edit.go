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

// decode reads a JSON body and rejects unknown fields, which would otherwise
// leave a misspelt field at its default.
func decode(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return newProblem(http.StatusBadRequest, "The body is not the JSON that this operation takes: "+err.Error(), "See docs/openapi.yaml.")
	}
	return nil
}

func (a *API) putRules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
	ruleSet, err := rules.Parse(c.body)
	if err != nil {
		return err
	}
	return a.apply(w, r, c, func(content *config.Content) error {
		content.Rules = ruleSet
		return nil
	})
}

func (a *API) putCap(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
	var newCap rules.Cap
	if err := decode(c.body, &newCap); err != nil {
		return err
	}
	newCap.Service = p.ByName("service")
	return a.apply(w, r, c, func(content *config.Content) error {
		if newCap.Service != rules.AnyService && content.Register.Service(newCap.Service) == nil {
			return notFound("service", newCap.Service, "/v1/services")
		}
		caps := content.Rules.Caps
		if i := capIndex(caps, newCap.Service); i >= 0 {
			caps[i] = newCap
		} else {
			content.Rules.Caps = append(caps, newCap)
		}
		return nil
	})
}

// capIndex returns the index of a service's cap, or -1.
func capIndex(caps []rules.Cap, service string) int {
	return slices.IndexFunc(caps, func(c rules.Cap) bool { return c.Service == service })
}

func notFound(kind, name, list string) error {
	return newProblem(http.StatusNotFound, "There is no "+kind+" "+name+".", "See "+list+".")
}

func (a *API) deleteCap(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
	return a.apply(w, r, c, func(content *config.Content) error {
		i := capIndex(content.Rules.Caps, p.ByName("service"))
		if i < 0 {
			return notFound("cap of service", p.ByName("service"), "/v1/caps")
		}
		content.Rules.Caps = slices.Delete(content.Rules.Caps, i, i+1)
		return nil
	})
}

func (a *API) postDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
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
		if err := checkTarget(content.Register, &d); err != nil {
			return err
		}
		if slices.ContainsFunc(content.Rules.Drains, func(other rules.Drain) bool { return other.ID == d.ID }) {
			return newProblem(http.StatusConflict, "There is a drain "+d.ID+" already.", "Choose another ID, or cancel that drain first.")
		}
		content.Rules.Drains = append(content.Rules.Drains, d)
		return nil
	})
}

// checkTarget refuses drains of targets that are not in the register, which would
// have no effect. Entry VMs are not checked, because the register doesn't list
// them.
func checkTarget(r *register.Register, d *rules.Drain) error {
	known := true
	switch d.Kind {
	case rules.TargetInstance:
		known = serviceOfInstance(r, d.Target) != ""
	case rules.TargetDataCentre:
		known = r.RegionOf(d.Target) != ""
	case rules.TargetRegion:
		known = slices.Contains(r.RegionNames(), d.Target)
	}
	if !known {
		return newProblem(http.StatusUnprocessableEntity, "The register has no "+string(d.Kind)+" "+d.Target+".", "See /v1/places and /v1/services.")
	}
	return nil
}

func (a *API) deleteDrain(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := a.beginChange(w, r, a.opts.MaxBody)
	if err != nil {
		return err
	}
	defer c.release()
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
	c, err := a.beginChange(w, r, a.opts.MaxRegister)
	if err != nil {
		return err
	}
	defer c.release()
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
			p := newProblem(http.StatusUnprocessableEntity, "The import drops more than 20 % of something: "+impact.Dropped[0]+".",
				"Check the register; if it is right, send the import again with confirm=true.")
			p.Impact = impact
			return p
		}
		if len(impact.Dropped) > 0 {
			event.AdminLargeDropConfirmed.Log(a.opts.Log, "change", c.meta.ChangeID, "by", c.meta.By, "dropped", impact.Dropped)
		}
		content.Register, content.Kept = next, nil
		return nil
	})
}

// previewRegister responds with the changes that an import would make.
func (a *API) previewRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	if _, err := identify(r, s.Rules); err != nil {
		return err // A large body is expensive, so only authenticated senders may send one.
	}
	release, err := a.acquireChangeLock(w, r)
	if err != nil {
		return err
	}
	defer release()
	body, err := readBody(w, r, a.opts.MaxRegister)
	if err != nil {
		return err
	}
	next, err := register.Parse(body)
	if err != nil {
		return err
	}
	impact, err := impactOf(s.ContentWithStoredBlocks(), next)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(s.Head.Version))
	writeJSON(w, http.StatusOK, impact)
	return nil
}
