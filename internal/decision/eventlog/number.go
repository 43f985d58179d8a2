package eventlog

// Number identifies a kind of event. The number of a removed event is never reused.
type Number int

// The events. docs/EVENTS.md describes each one.
const (
	RequestReceived      Number = 1001
	RequestRefused       Number = 1002
	RequestAnswered      Number = 1003
	RequestAbandoned     Number = 1004
	RequestReplayed      Number = 1005
	ResponseIncomplete   Number = 1006
	ArrivedInDrain       Number = 1007
	RouteChosen          Number = 1101
	AttemptFailed        Number = 1102
	AttemptFirstToken    Number = 1103
	AnswerDropped        Number = 1104
	StreamMoved          Number = 1105
	AlternativeTried     Number = 1106
	OriginUnknown        Number = 1107
	OriginFound          Number = 1108
	OriginsDropped       Number = 1109
	CapacityAwaited      Number = 1110
	CapacityRefused      Number = 1111
	AttemptWithdrawn     Number = 1112
	OtherWeightsServed   Number = 1113
	ConnectionClosedLate Number = 1114
	TokensTaken          Number = 1201
	TokensRefused        Number = 1202
	TokensReturned       Number = 1203
	CallRecorded         Number = 1301
	CallSettled          Number = 1302
	CallUnsettled        Number = 1303
	CallFound            Number = 1304
	ConfigInForce        Number = 2001
	ConfigRejected       Number = 2002
	ConfigWritten        Number = 2003
	ConfigConflict       Number = 2004
	LeaseTaken           Number = 2101
	LeaseLost            Number = 2102
	ShareChanged         Number = 2103
	LeaseAsked           Number = 2104
	ServerSuspected      Number = 2201
	ServerCrashed        Number = 2202
	RunsAlone            Number = 2203
	RequestConvicted     Number = 2204
	InstanceStarted      Number = 3001
	InstanceDraining     Number = 3002
	InstanceStopped      Number = 3003
	InstanceListening    Number = 3004
	InstanceResumed      Number = 3007
	PanicRecovered       Number = 3008
	PlatformFailed       Number = 3101
	PlatformRecovered    Number = 3102
	PeerMessageInvalid   Number = 3103
	ServerListed         Number = 2205
	ServerRecovered      Number = 2206
	CacheReadAnew        Number = 2207
	CacheReadFailed      Number = 2208
	ServerLeaving        Number = 2209
	ServerPaused         Number = 2210
	ServerPauseInvalid   Number = 2211
	RequestsInterrupted  Number = 2212
	PartConvicted        Number = 2213
	PartCleared          Number = 2214
	ServerLimited        Number = 2215
	ServerLimitInvalid   Number = 2216
	PathBlocked          Number = 2217
	PathOpen             Number = 2218
	CutOffChanged        Number = 2219
	TunnelRefused        Number = 2220
	ServerBrittle        Number = 2221
	ServerBrittleInvalid Number = 2222
	StartNotListed       Number = 2223
	WeightsNamed         Number = 2301
	AssignmentWritten    Number = 2320
	StoreEraChanged      Number = 2401
	StoreEraInvalid      Number = 2402
	RolloutOrdered       Number = 2501
	RolloutTargetUnknown Number = 2502
	RolloutPhase         Number = 2503
	RolloutVerdict       Number = 2504
	RolloutEnded         Number = 2505
	OrderGiven           Number = 2302
	OrderReplied         Number = 2303
	SettingsRead         Number = 3005
	SettingsRejected     Number = 3006
	StoreEntryInvalid    Number = 3104
	LinesDropped         Number = 3105
	PeerRemoved          Number = 3106
	PeersFailed          Number = 3107
	ReplicaFetchFailed   Number = 3108
	WatchChanged         Number = 3109
)

// names are the events' names in the log.
var names = map[Number]string{
	RequestReceived:      "requestReceived",
	RequestRefused:       "requestRefused",
	RequestAnswered:      "requestAnswered",
	RequestAbandoned:     "requestAbandoned",
	RequestReplayed:      "requestReplayed",
	ResponseIncomplete:   "responseIncomplete",
	ArrivedInDrain:       "arrivedInDrain",
	RouteChosen:          "routeChosen",
	AttemptFailed:        "attemptFailed",
	AttemptFirstToken:    "attemptFirstToken",
	AnswerDropped:        "answerDropped",
	StreamMoved:          "streamMoved",
	AlternativeTried:     "alternativeTried",
	OriginUnknown:        "originUnknown",
	OriginFound:          "originFound",
	OriginsDropped:       "originsDropped",
	CapacityAwaited:      "capacityAwaited",
	CapacityRefused:      "capacityRefused",
	AttemptWithdrawn:     "attemptWithdrawn",
	OtherWeightsServed:   "otherWeightsServed",
	ConnectionClosedLate: "connectionClosedLate",
	TokensTaken:          "tokensTaken",
	TokensRefused:        "tokensRefused",
	TokensReturned:       "tokensReturned",
	CallRecorded:         "callRecorded",
	CallSettled:          "callSettled",
	CallUnsettled:        "callUnsettled",
	CallFound:            "callFound",
	ConfigInForce:        "configInForce",
	ConfigRejected:       "configRejected",
	ConfigWritten:        "configWritten",
	ConfigConflict:       "configConflict",
	LeaseTaken:           "leaseTaken",
	LeaseLost:            "leaseLost",
	ShareChanged:         "shareChanged",
	LeaseAsked:           "leaseAsked",
	ServerSuspected:      "serverSuspected",
	ServerCrashed:        "serverCrashed",
	RunsAlone:            "runsAlone",
	RequestConvicted:     "requestConvicted",
	InstanceStarted:      "instanceStarted",
	InstanceDraining:     "instanceDraining",
	InstanceStopped:      "instanceStopped",
	InstanceResumed:      "instanceResumed",
	PanicRecovered:       "panicRecovered",
	InstanceListening:    "instanceListening",
	PlatformFailed:       "platformFailed",
	PlatformRecovered:    "platformRecovered",
	PeerMessageInvalid:   "peerMessageInvalid",
	ServerListed:         "serverListed",
	ServerRecovered:      "serverRecovered",
	CacheReadAnew:        "cacheReadAnew",
	CacheReadFailed:      "cacheReadFailed",
	ServerLeaving:        "serverLeaving",
	ServerPaused:         "serverPaused",
	ServerPauseInvalid:   "serverPauseInvalid",
	RequestsInterrupted:  "requestsInterrupted",
	PartConvicted:        "partConvicted",
	PartCleared:          "partCleared",
	ServerLimited:        "serverLimited",
	ServerLimitInvalid:   "serverLimitInvalid",
	PathBlocked:          "pathBlocked",
	PathOpen:             "pathOpen",
	CutOffChanged:        "cutOffChanged",
	TunnelRefused:        "tunnelRefused",
	ServerBrittle:        "serverBrittle",
	ServerBrittleInvalid: "serverBrittleInvalid",
	StartNotListed:       "startNotListed",
	WeightsNamed:         "weightsNamed",
	AssignmentWritten:    "assignmentWritten",
	StoreEraChanged:      "storeEraChanged",
	StoreEraInvalid:      "storeEraInvalid",
	RolloutOrdered:       "rolloutOrdered",
	RolloutTargetUnknown: "rolloutTargetUnknown",
	RolloutPhase:         "rolloutPhase",
	RolloutVerdict:       "rolloutVerdict",
	RolloutEnded:         "rolloutEnded",
	OrderGiven:           "orderGiven",
	OrderReplied:         "orderReplied",
	SettingsRead:         "settingsRead",
	SettingsRejected:     "settingsRejected",
	StoreEntryInvalid:    "storeEntryInvalid",
	LinesDropped:         "linesDropped",
	PeerRemoved:          "peerRemoved",
	PeersFailed:          "peersFailed",
	ReplicaFetchFailed:   "replicaFetchFailed",
	WatchChanged:         "watchChanged",
}

// String returns the event's name.
func (n Number) String() string {
	return names[n]
}

// Names returns the names of all events by number.
func Names() map[Number]string {
	return names
}
