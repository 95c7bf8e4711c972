/** Settings of the roles of a deployment whose upstreams are called directly. */
import type { DispatchMode } from '../core/dispatch/service-profile.js'

interface CommonSettings {
  readonly instance: string
  readonly ip: string
  readonly dataCentre: string
  readonly region: string
  /** Region of each data centre. */
  readonly regionByDataCentre: ReadonlyMap<string, string>
  /** Port for messages between nodes, TCP and UDP. */
  readonly internalPort: number
  /** IPs of some nodes to contact first; some may be down or no longer exist. */
  readonly seeds: readonly string[]
  /** Address of the platform's record store, `ip:port`. */
  readonly store: string
  /** Maximum time until an accepted configuration is in force, milliseconds. */
  readonly configurationApplyMilliseconds: number
  /** Time after which a draining upstream must receive no more requests, milliseconds. */
  readonly drainMilliseconds: number
  /** Time after which new requests must run on newly named weights only, milliseconds. */
  readonly rolloutMilliseconds: number
  /** Time between the request to stop the process and its kill, milliseconds. */
  readonly stopGraceMilliseconds: number
  /** Maximum retries of a service as a share of its requests in a window, for all entries together. */
  readonly retryRatio: number
  readonly retryWindowMilliseconds: number
  /** Retries that are allowed in a window in addition to that share. */
  readonly retrySlack: number
  /** In one second, a cold upstream may receive its rate times `coldFactor` plus `coldSlack` requests. */
  readonly coldFactor: number
  readonly coldSlack: number
  /** Time without disruption after which a node is considered stable, milliseconds. */
  readonly stableMilliseconds: number
}

/** Settings of an entry that calls upstreams directly. */
export interface GatewaySettings extends CommonSettings {
  readonly role: 'gateway'
  /** Address for callers' requests, `ip:port`. */
  readonly callers: string
  /** Address of the readiness endpoint, `ip:port`. */
  readonly readiness: string
  /** Address of the directory, which lists the entries for callers to use, `ip:port`. */
  readonly directory: string
  /** Time for which callers may cache an answer of the directory, seconds. */
  readonly directoryCacheSeconds: number
  /** Interval at which instances renew their records, milliseconds. */
  readonly heartbeatMilliseconds: number
  /** Which services get the adaptive dispatch decisions. */
  readonly dispatchMode: DispatchMode
}

/** Settings of an agent that delivers weights to its engine. */
export interface WeightsSettings extends CommonSettings {
  readonly role: 'weights'
  /** Address of the engine, `ip:port`. */
  readonly engine: string
  readonly service: string
  /** Capacity of the instance's link; 0 if not configured. */
  readonly linkBytesPerSecond: number
}

/** Settings of a process, distinguished by `role`. */
export type NodeSettings = GatewaySettings | WeightsSettings
