/** How the chunks of one manifest are fetched; behaviours differ, so that measurements can compare them. */
import { setMaxListeners } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import type { WantedWeights } from '../../../types/weights.js'
import type { LinkLimiter } from '../../../utils/link-limiter.js'
import type { Holdings } from './holdings.js'
import type { ExchangeOptions } from './options.js'

/** What a fetcher works with. */
export interface FetchContext {
  readonly options: ExchangeOptions
  readonly holdings: Holdings
  /** Pace of incoming bytes. */
  readonly incoming: LinkLimiter
  /** Called after each verified chunk. */
  readonly onChange: () => void
}

/** Fetches one manifest until it is whole. */
export abstract class ChunkFetcher {
  protected readonly stopping = new AbortController()

  constructor (protected readonly context: FetchContext, readonly wanted: WantedWeights) {
    setMaxListeners(0, this.stopping.signal)
  }

  abstract start (): void

  /** Takes what a peer said about its holdings when it asked here. */
  handlePeerRequest (_instance: string, _headers: IncomingHttpHeaders): void {}

  /** Ends every draw. */
  stop (): void {
    this.stopping.abort()
  }
}
