/** Settings of the roles that call upstreams directly. */

interface CommonSettings {
  readonly instance: string
  readonly ip: string
  readonly dataCentre: string
  readonly region: string
  readonly regionByDataCentre: ReadonlyMap<string, string>
  /** Port between nodes, TCP and UDP. */
  readonly internalPort: number
  /** IPs of some nodes; they may be down or gone. */
  readonly seeds: readonly string[]
  /** Address of the platform's store. */
  readonly store: string
  /** Time within which an accepted configuration is in force, milliseconds. */
  readonly configurationApplyMilliseconds: number
  /** Time within which a draining upstream must get no more requests, milliseconds. */
  readonly drainMilliseconds: number
  /** Time within which requests begin on named weights only, milliseconds. */
  readonly rolloutMilliseconds: number
  /** Time between a request to stop and the kill, milliseconds. */
  readonly stopGraceMilliseconds: number
  /** Repeats that a service may get for each of its requests, over a window, all entries together. */
  readonly retryRatio: number
  readonly retryWindowMilliseconds: number
  /** Repeats in a window on top of that share. */
  readonly retrySlack: number
  /** A cold upstream may get its rate times this, plus the slack, in one second. */
  readonly coldFactor: number
  readonly coldSlack: number
  /** Time without disruption after which a node counts as stable, milliseconds. */
  readonly stableMilliseconds: number
}

/** Settings of an entry that calls upstreams directly. */
export interface GatewaySettings extends CommonSettings {
  readonly role: 'gateway'
  /** Address that callers connect to. */
  readonly callers: string
  readonly readiness: string
  readonly directory: string
  /** How long callers may keep an answer of the directory, seconds. */
  readonly directoryCacheSeconds: number
}

/** Settings of the agent that brings weights to its engine. */
export interface WeightsSettings extends CommonSettings {
  readonly role: 'weights'
  readonly engine: string
  readonly service: string
  readonly linkBytesPerSecond: number
}

export type NodeSettings = GatewaySettings | WeightsSettings
