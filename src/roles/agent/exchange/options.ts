/** What the exchange needs of its agent. */
import type { PaceView, SwapState } from '../../../core/weights/swap-pacing.js'

/** An instance that exchanges weights. */
export interface ExchangeMember {
  readonly instance: string
  readonly dataCentre: string
  /** HTTP address of its agent, `ip:port`. */
  readonly address: string
}

/** Load of an instance, as its agent counts it. */
export interface ExchangeLoad {
  readonly inFlight: number
  readonly limit: number
}

/** Settings and views of the exchange. */
export interface ExchangeOptions {
  readonly instance: string
  readonly dataCentre: string
  /** Base URL of the origin of weights. */
  readonly origin: string | undefined
  /** Base URL of the weight store. */
  readonly store: string | undefined
  /** Bytes a second of the instance's link for weights, each way; 0 for no limit. */
  readonly linkBytes: number
  /** Live instances that want a manifest, in every data centre, from the lagging list. */
  readonly members: (manifest: string) => readonly ExchangeMember[]
  /** Manifest digest that the engine serves, empty for none. */
  readonly served: () => string
  readonly load: () => ExchangeLoad
  /** Live instances of the same service and data centre, whatever they want. */
  readonly pool: () => readonly ExchangeMember[]
  /** What the deployment weighs more. */
  readonly weighting: () => 'replicas' | 'service'
  /** Instances that may be away at once; measurements replace it. */
  readonly maximumUnavailable?: (view: PaceView) => number
}

/** What an instance answers about a manifest at `GET /weights/DIGEST/held`. */
export interface HeldAnswer {
  readonly instance: string
  /** Grows with each change; an answer to a known version leaves the sets out. */
  readonly version: number
  /** Base64 bitmaps; absent when unchanged or when the manifest is not known here. */
  readonly held?: string
  readonly seen?: string
  /** Manifest digest that the engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  readonly inFlight: number
  readonly limit: number
  /** How long the last change of weights took here, milliseconds; 0 before the first. */
  readonly changeMilliseconds: number
}
