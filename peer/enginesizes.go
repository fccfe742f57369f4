package peer

import "wardturn"

// EngineSizes passes the sizes of weights in the operator's configuration of an engine to its keeper,
// ahead of the EngineConfig, whose form older builds fix.
type EngineSizes struct {
	Config int64 // version of the configuration
	Memory wardturn.Megabytes
	Models []ModelSizes
}

// ModelSizes are the sizes of a model.
type ModelSizes struct {
	Name        wardturn.BaseModel
	Weights     wardturn.Megabytes
	AdapterSize wardturn.Megabytes
}

// Kind implements Message.
func (*EngineSizes) Kind() Kind { return KindEngineSizes }

// NewEngineSizes returns the sizes in a specification.
func NewEngineSizes(config int64, spec wardturn.EngineSpec) *EngineSizes {
	m := &EngineSizes{
		Config: config,
		Memory: spec.Memory,
	}
	for _, s := range spec.Models {
		m.Models = append(m.Models, ModelSizes{
			Name:        s.Name,
			Weights:     s.Weights,
			AdapterSize: s.AdapterSize,
		})
	}
	return m
}

// Spec returns a specification that has the sizes only.
func (m *EngineSizes) Spec() wardturn.EngineSpec {
	spec := wardturn.EngineSpec{
		Memory: m.Memory,
	}
	for _, s := range m.Models {
		spec.Models = append(spec.Models, wardturn.ModelSpec{
			Name:        s.Name,
			Weights:     s.Weights,
			AdapterSize: s.AdapterSize,
		})
	}
	return spec
}
