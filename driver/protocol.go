package driver

import (
	"time"

	"wardturn"
)

// URL paths of the log and of the host list.
const (
	PathRecords = "/v1/records"
	PathHosts   = "/v1/hosts"
)

// URL paths of a model engine.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathModels          = "/v1/models"
	PathLoadAdapter     = "/v1/load_lora_adapter"
	PathUnloadAdapter   = "/v1/unload_lora_adapter"
	PathReport          = "/v1/report"
)

// Headers that wardturn adds to requests to engines and services.
const (
	HeaderFence     = "X-Order-Fence"
	HeaderOrderID   = "X-Order-Id"
	HeaderRequestID = "X-Request-Id"
)

// AppendResponse is the body of the log's response to an append.
type AppendResponse struct {
	Offset wardturn.Offset `json:"offset"`
}

// LogRecord is one log record. Data is encoded as base64 in JSON.
type LogRecord struct {
	Offset wardturn.Offset `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   []byte          `json:"data"`
}

// LogPage is the body of the log's response to a read.
type LogPage struct {
	First   wardturn.Offset `json:"first"`
	Next    wardturn.Offset `json:"next"`
	Records []LogRecord     `json:"records"`
}

// AdapterRequest is the body of a request to load or unload an adapter.
type AdapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// ErrorBody is the error body of the OpenAI API. Engines send it, and callers
// receive errors in the same format.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object inside an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// Error codes with which an engine reports that it executed nothing.
const (
	CodeNotLoaded   = "adapter_not_loaded"
	CodeFenced      = "fenced"
	CodeAdapterBusy = "adapter_busy"
	CodeNoSlot      = "no_slot"
	CodeStoreBusy   = "store_busy"
	CodeUnavailable = "unavailable"
)
