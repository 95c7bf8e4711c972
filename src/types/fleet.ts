/** Decoded configuration, instance records and engine reports of a deployment whose upstreams are called directly. */

/** How requests may be repeated: `idempotent` ones may run again, `once` runs at most once, `stream` is answered with a stream of events. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** A service that receives a share of a route's requests, in proportion to `weight`. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** A route for the requests to a host below a path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Whether a broken stream may be resumed at another upstream. */
  readonly isResumable: boolean
  /** Timeout of the complete answer, milliseconds. */
  readonly timeoutMilliseconds: number
  /** Goal for the time to the answer, or to a stream's first event, milliseconds. */
  readonly latencyGoalMilliseconds: number
  /** Goal for the longest pause between two events of a stream, milliseconds; 0 if not configured. */
  readonly eventGapGoalMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Maximum number of upstreams that may run one request. */
  readonly maximumUpstreams: number
  /** Whether callers need no key. */
  readonly isPublic: boolean
  /** Regions that may serve it; empty for all. */
  readonly regions: readonly string[]
}

/** Properties of a model service's engines. */
export interface EngineFacts {
  /** Requests that one engine runs concurrently. */
  readonly slots: number
  readonly layers: number
  readonly chunkCount: number
  readonly chunkBytes: number
  readonly models: readonly string[]
  /** Duration of one step, which generates a token for each running request, milliseconds. */
  readonly stepMilliseconds: number
  /** Prompt tokens that an engine processes in a second. */
  readonly promptTokensPerSecond: number
  /** Steps that an engine runs in one pass while requests are generating tokens. */
  readonly stepsPerPass: number
  readonly typicalPromptTokens: number
  readonly typicalAnswerTokens: number
}

/** Properties of the origin of weights. */
export interface OriginFacts {
  readonly address: string
  /** Capacity of its link; 0 if not configured. */
  readonly bytesPerSecond: number
}

/** What the agents of a service need of a configuration. */
export interface RolloutFacts {
  readonly configurationVersion: number
  /** Models of the service's engines; empty when the configuration does not list the service as one of engines. */
  readonly models: readonly string[]
  readonly chunkCount: number
  readonly chunkBytes: number
  /** Undefined when the configuration has none. */
  readonly origin: OriginFacts | undefined
  /** Whether every stream of the service can be resumed at another engine. */
  readonly isResumable: boolean
}

/** A service of upstreams. */
export interface Service {
  readonly name: string
  /** Maximum connections of all clients to one upstream; 0 if not configured. */
  readonly maximumConnections: number
  /** Duration of the cold phase after an upstream's start, milliseconds. */
  readonly coldMilliseconds: number
  /** Maximum requests a second to a cold upstream; 0 if not configured. */
  readonly coldRequestsPerSecond: number
  readonly engine: EngineFacts | undefined
  /** Set for the service that is the origin of weights. */
  readonly origin: OriginFacts | undefined
}

/** An organisation and the keys of its callers. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the route's priority; undefined if not configured. */
  readonly priority: number | undefined
  /** Share of contended upstreams relative to other organisations, above 0; 1 if not configured. */
  readonly share?: number
  /** Regions that may serve it; empty for all. */
  readonly regions: readonly string[]
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Timeout of receiving a request's headers, milliseconds. */
  readonly headerTimeoutMilliseconds: number
  /** Time after which an idle connection is closed, milliseconds. */
  readonly idleTimeoutMilliseconds: number
}

/** One version of the operators' configuration. */
export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly organisations: readonly Organisation[]
  readonly limits: CallerLimits
}

/** Weights that an engine has loaded completely. */
export interface LoadedWeights {
  readonly model: string
  readonly version: number
}

/** An upstream as its record in the instance list describes it. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** IP and port. */
  readonly address: string
  readonly dataCentre: string
  readonly slots: number
  readonly isDraining: boolean
  /** Duration of the cold phase from the receipt of the record on, milliseconds. */
  readonly coldMilliseconds: number
  /** Start time, epoch milliseconds, which reveals a restart under the same id; 0 if not known. */
  readonly startedAt: number
  /** Complete weights that it serves; undefined for none, and for upstreams without weights. */
  readonly weights: LoadedWeights | undefined
  readonly isEngine: boolean
}

/** Weights that an operators' record names for rollout. */
export interface NamedWeights {
  readonly model: string
  readonly version: number
}

/** Decoded value of one key of the operators' records. */
export type OperatorRecord =
  | { readonly kind: 'configuration', readonly configuration: FleetConfiguration }
  | { readonly kind: 'evacuation', readonly dataCentre: string }
  | { readonly kind: 'weights', readonly weights: NamedWeights }
  | { readonly kind: 'unknown', readonly reason: string }

/** State that an engine reports. */
export interface EngineReport {
  /** Epoch milliseconds of its start. */
  readonly startedAt: number
  /** Number of orders accepted since its start. */
  readonly orders: number
  /** Whether an order is in progress. */
  readonly isSwapping: boolean
  readonly running: number
  readonly waiting: number
  readonly weights: LoadedWeights | undefined
}

/** A load of an engine that an agent found whole; the number of orders tells it from others of the same start. */
export interface VouchedLoad {
  /** Epoch milliseconds of the engine's start. */
  readonly startedAt: number
  /** Number of orders accepted since then, with the one that began the load. */
  readonly orders: number
  readonly version: number
}
