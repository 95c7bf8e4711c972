/** Base class for fetching the chunks of one manifest; measurements compare its implementations. */
import { setMaxListeners } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import type { WantedWeights } from '../../../types/weights.js'
import type { LinkLimiter } from '../../../utils/link-limiter.js'
import type { Holdings } from './holdings.js'
import type { ExchangeOptions } from './options.js'

/** Dependencies of a fetcher. */
export interface FetchContext {
  readonly options: ExchangeOptions
  readonly holdings: Holdings
  /** Rate limit of incoming bytes. */
  readonly incoming: LinkLimiter
  /** Called after each verified chunk. */
  readonly onChange: () => void
}

/** Fetches one manifest until all of its chunks are held. */
export abstract class ChunkFetcher {
  protected readonly stopping = new AbortController()

  constructor (protected readonly context: FetchContext, readonly wanted: WantedWeights) {
    // Every fetch adds a listener; 0 lifts the warning limit of 10.
    setMaxListeners(0, this.stopping.signal)
  }

  abstract start (): void

  /** Records what the headers of a peer's request say about its holdings. */
  handlePeerRequest (_instance: string, _headers: IncomingHttpHeaders): void {}

  /** Aborts every fetch in progress. */
  stop (): void {
    this.stopping.abort()
  }
}
