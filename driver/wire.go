package driver

import (
	"time"

	"wardturn"
)

// The paths of the log and of the host list.
const (
	PathRecords = "/v1/records"
	PathHosts   = "/v1/hosts"
)

// The paths of a model engine.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathModels          = "/v1/models"
	PathLoadAdapter     = "/v1/load_lora_adapter"
	PathUnloadAdapter   = "/v1/unload_lora_adapter"
	PathReport          = "/v1/report"
)

// The headers that wardturn adds towards engines and services.
const (
	HeaderFence   = "X-Order-Fence"
	HeaderOrder   = "X-Order-Id"
	HeaderAttempt = "X-Request-Id"
)

// Appended is the log's answer to an append.
type Appended struct {
	Offset wardturn.Offset `json:"offset"`
}

// WireRecord is one record of the log as JSON; Data is base64.
type WireRecord struct {
	Offset wardturn.Offset `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   []byte          `json:"data"`
}

// WirePage is the log's answer to a read.
type WirePage struct {
	First   wardturn.Offset `json:"first"`
	Next    wardturn.Offset `json:"next"`
	Records []WireRecord    `json:"records"`
}

// AdapterOrder is the body of a load or unload of an adapter.
type AdapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// ErrorBody is the error shape of the OpenAI API, which engines send and
// callers get.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inner object of ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// The error codes with which an engine says that nothing ran.
const (
	CodeNotLoaded   = "adapter_not_loaded"
	CodeFenced      = "fenced"
	CodeAdapterBusy = "adapter_busy"
	CodeNoSlot      = "no_slot"
	CodeStoreBusy   = "store_busy"
	CodeUnavailable = "unavailable"
)
