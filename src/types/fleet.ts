/** What an entry and a weights agent know of a deployment whose upstreams are called directly. */

/** What may be repeated: `idempotent` requests, `once` at most, or `stream`s of events. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** A service that a route sends to, with its share of the route's requests. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** A route: the requests of a host below a path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Whether a broken stream may go on at another upstream. */
  readonly isResumable: boolean
  /** Longest time that a request may wait for its whole answer, milliseconds. */
  readonly timeoutMilliseconds: number
  /** Time to the answer, or to a stream's first event, that callers want, milliseconds. */
  readonly latencyGoalMilliseconds: number
  /** Longest pause between two events that callers want, milliseconds; 0 for none stated. */
  readonly eventGapGoalMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Upstreams that one request may be sent to at most. */
  readonly maximumUpstreams: number
  readonly isPublic: boolean
  /** Regions that may serve it; empty for all. */
  readonly regions: readonly string[]
}

/** Facts of a model service's engines. */
export interface EngineFacts {
  /** Requests that one engine runs at once. */
  readonly slots: number
  readonly layers: number
  readonly chunkCount: number
  readonly chunkBytes: number
  readonly models: readonly string[]
  /** Time of one token step, milliseconds. */
  readonly stepMilliseconds: number
  /** Prompt tokens that an engine reads in a second. */
  readonly promptTokensPerSecond: number
  /** Token steps of one pass while requests are writing. */
  readonly stepsPerPass: number
  readonly typicalPromptTokens: number
  readonly typicalAnswerTokens: number
}

/** The origin of weights. */
export interface OriginFacts {
  readonly address: string
  /** What its link carries; 0 when not stated. */
  readonly bytesPerSecond: number
}

/** A service of upstreams. */
export interface Service {
  readonly name: string
  /** Connections that one upstream accepts from all callers together; 0 when not stated. */
  readonly maximumConnections: number
  /** How long an upstream stays cold after a start, milliseconds. */
  readonly coldMilliseconds: number
  /** Requests a second that a cold upstream bears; 0 when not stated. */
  readonly coldRequestsPerSecond: number
  readonly engine: EngineFacts | undefined
  /** Set for the service that is the origin of weights. */
  readonly origin: OriginFacts | undefined
}

/** An organisation and the keys of its callers. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the route's priority; undefined when not stated. */
  readonly priority: number | undefined
  /** Regions that may serve it; empty for all. */
  readonly regions: readonly string[]
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** How long a caller may take to send its headers, milliseconds. */
  readonly headerTimeoutMilliseconds: number
  /** How long a kept connection may stay idle, milliseconds. */
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

/** Weights that an engine holds whole. */
export interface LoadedWeights {
  readonly model: string
  readonly version: number
}

/** An upstream as its own entry in the instance list states it. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** IP and port. */
  readonly address: string
  readonly dataCentre: string
  readonly slots: number
  readonly isDraining: boolean
  /** How long it stays cold, counted from the record, milliseconds. */
  readonly coldMilliseconds: number
  /** Epoch milliseconds of its start; tells a restart under the same id; 0 when not stated. */
  readonly startedAt: number
  /** Whole weights that it serves; undefined for none, and for upstreams without weights. */
  readonly weights: LoadedWeights | undefined
  readonly isEngine: boolean
}

/** A record by which operators name new weights. */
export interface NamedWeights {
  readonly model: string
  readonly version: number
}

/** What operators wrote under one key. */
export type OperatorRecord =
  | { readonly kind: 'configuration', readonly configuration: FleetConfiguration }
  | { readonly kind: 'evacuation', readonly dataCentre: string }
  | { readonly kind: 'weights', readonly weights: NamedWeights }
  | { readonly kind: 'unknown', readonly reason: string }

/** State of an engine as its own report tells it. */
export interface EngineReport {
  readonly startedAt: number
  /** Orders accepted since its start. */
  readonly orders: number
  /** Whether an order is in progress. */
  readonly isSwapping: boolean
  readonly running: number
  readonly waiting: number
  readonly weights: LoadedWeights | undefined
}
