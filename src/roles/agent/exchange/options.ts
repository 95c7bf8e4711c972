/** Interface between the weight exchange and its agent. */
import type { PaceView, SwapState } from '../../../core/weights/swap-pacing.js'

/** An instance that takes part in the exchange. */
export interface ExchangeMember {
  readonly instance: string
  readonly dataCentre: string
  /** HTTP address of its agent, `ip:port`. */
  readonly address: string
}

/** Load of this instance: requests in flight and concurrency limit. */
export interface ExchangeLoad {
  readonly inFlight: number
  readonly limit: number
}

/** Settings of the exchange, and functions that give it the current view of its agent. */
export interface ExchangeOptions {
  readonly instance: string
  readonly dataCentre: string
  /** Base URL of the origin of weights. */
  readonly origin: string | undefined
  /** Base URL of the weight store. */
  readonly store: string | undefined
  /** Rate limit of weights on the link of this instance, bytes per second in each direction; 0 for no limit. */
  readonly linkBytes: number
  /** Live instances in all data centres that want a manifest; the instance list behind it lags behind reality. */
  readonly members: (manifest: string) => readonly ExchangeMember[]
  /** Digest of the manifest that the engine serves, empty for none. */
  readonly served: () => string
  readonly load: () => ExchangeLoad
  /** Live instances of the same service and data centre, whichever weights they want. */
  readonly pool: () => readonly ExchangeMember[]
  /** What the deployment favours: replicas that are up to date soon, or uninterrupted service. */
  readonly weighting: () => 'replicas' | 'service'
  /** Instances that may be unavailable at the same time; measurements replace the default. */
  readonly maximumUnavailable?: (view: PaceView) => number
}

/** JSON answer to `GET /weights/DIGEST/held`: the holdings of an instance and its swap state. */
export interface HeldAnswer {
  readonly instance: string
  /** Incremented with each change of the bitmaps; they are omitted if the request names the current version. */
  readonly version: number
  /** Base64 bitmap of the held positions; absent if unchanged or if the manifest is unknown. */
  readonly held?: string
  /** Base64 bitmap of the positions held in the data centre; absent like `held`. */
  readonly seen?: string
  /** Digest of the manifest that the engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  readonly inFlight: number
  readonly limit: number
  /** Duration of the last swap of weights, milliseconds; 0 before the first. */
  readonly changeMilliseconds: number
}
