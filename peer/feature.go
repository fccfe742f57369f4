package peer

import (
	"strconv"
	"strings"
)

// Features is the set of optional messages that a process understands, announced in its
// Hello. A process closes a connection on a message of an unknown kind, so these messages
// are sent only to peers that announce them.
type Features uint64

// The features.
const (
	// FeaturePrefillTurns: PrefillRequest, PrefillGrant and PrefillDone.
	FeaturePrefillTurns Features = 1 << iota
	// FeaturePlainLoad: PlainLoadReports.
	FeaturePlainLoad
	// FeatureUrgentLoads: UrgentLoadRequest.
	FeatureUrgentLoads
	// FeatureConfigRecords: ConfigAnnouncement.
	FeatureConfigRecords
	// FeatureStreamOrigins: StreamStarts, OriginQuery, OriginReply and SoftwareAnnouncement.
	FeatureStreamOrigins
	// FeaturePromptParts: PartAnnouncement.
	FeaturePromptParts
	// FeatureOriginRecords: StreamRecords.
	FeatureOriginRecords
	// FeatureEngineSizes: EngineSizes.
	FeatureEngineSizes
)

// ownFeatures are the features of this build.
const ownFeatures = FeaturePrefillTurns | FeaturePlainLoad | FeatureUrgentLoads | FeatureConfigRecords | FeatureStreamOrigins | FeaturePromptParts | FeatureOriginRecords | FeatureEngineSizes

// Has reports whether the set contains a feature.
func (f Features) Has(feature Features) bool {
	return f&feature == feature
}

// featureSeparator separates the host name from the features in Hello.Host. Host names do
// not contain it.
const featureSeparator = " "

// hostField returns the value of Hello.Host for a host name and features. The features have
// no field of their own because a process rejects messages with an unknown number of fields,
// and builds without features must be able to read the Hello of this one.
func hostField(host string, f Features) string {
	return host + featureSeparator + strconv.FormatUint(uint64(f), 16)
}

// splitHostField returns the host name and the features in the value of Hello.Host. A build
// without features sends the host name alone.
func splitHostField(field string) (host string, f Features) {
	host, text, _ := strings.Cut(field, featureSeparator)
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return host, 0
	}
	return host, Features(n)
}
