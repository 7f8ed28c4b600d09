package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func (s *State) reduceConfiguration(event ConfigurationEvent) {
	switch e := event.(type) {
	case ConfigurationLoaded:
		s.loadConfiguration(e)
	}
}

// loadConfiguration puts a version in force, unless a version as high already is.
func (s *State) loadConfiguration(e ConfigurationLoaded) {
	if e.Version <= s.control.version {
		return
	}
	templates := map[identifier.TemplateID]configurer.Template{}
	for _, t := range e.Templates {
		templates[t.ID] = t
	}
	policies := map[identifier.CustomerID]*configurer.Policy{}
	for _, c := range e.Customers {
		policy, err := configurer.Resolve(templates[c.Template], c)
		if err != nil {
			s.log(ConfigurationSubsystem, Error, "customer left out", Field{"reason", err.Error()})
			continue
		}
		policies[c.ID] = policy
	}
	s.control.version = e.Version
	s.control.policies = policies
	version := strconv.FormatUint(uint64(e.Version), 10)
	s.log(ConfigurationSubsystem, Info, "configuration in force", Field{"version", version})
	s.publish()
}
