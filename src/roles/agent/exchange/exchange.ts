/** Weight exchange of an instance: fetches the wanted weights, and serves chunks to peers and to its engine. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { WantedWeights, WeightProgress } from '../../../types/weights.js'
import { headerOf, sendJson } from '../../../transports/http-server.js'
import { LinkLimiter } from '../../../utils/link-limiter.js'
import { logFor } from '../../../utils/log.js'
import { runInBackground } from '../../../utils/background.js'
import type { ChunkFetcher, FetchContext } from './fetcher.js'
import { heldCount, heldHeaderNames, Holdings, hasAllChunks } from './holdings.js'
import type { ExchangeOptions } from './options.js'
import { SwapPacer } from './swap-pacer.js'
import { SwarmFetcher } from './swarm.js'
import { Uploads } from './uploads.js'

const log = logFor('exchange')

/** Memory and traffic of an exchange, for measurements. */
export interface ExchangeUsage {
  /** Bytes of chunks in memory. */
  readonly heldBytes: number
  /** Bytes of chunks sent to peers. */
  readonly sentBytes: number
  /** Number of answers to peers, by kind. */
  readonly answers: Readonly<Record<'chunks' | 'busy' | 'missing' | 'held', number>>
}

/** Creates the fetcher for one manifest. */
export type MakeFetcher = (context: FetchContext, wanted: WantedWeights) => ChunkFetcher

const makeSwarm: MakeFetcher = (context, wanted) => new SwarmFetcher(context, wanted)

/** Exchange of one instance; `onChange` is called after each verified chunk. */
export class WeightExchange {
  private wanted: WantedWeights | undefined
  private fetcher: ChunkFetcher | undefined
  private readonly holdings = new Holdings()
  private readonly uploads: Uploads
  private readonly context: FetchContext
  private readonly pacer: SwapPacer
  private lastServed = ''

  constructor (private readonly options: ExchangeOptions, onChange: () => void, private readonly makeFetcher: MakeFetcher = makeSwarm) {
    const liveLoad = (): number => {
      const { inFlight, limit } = options.load()
      return limit > 0 ? inFlight / limit : 0
    }
    this.pacer = new SwapPacer(options)
    this.uploads = new Uploads(options, this.holdings, new LinkLimiter(options.linkBytes, liveLoad), this.pacer)
    this.context = { options, holdings: this.holdings, incoming: new LinkLimiter(options.linkBytes, liveLoad), onChange }
  }

  /** Sets the weights to fetch, undefined for none. A new target stops the previous fetch and evicts all chunks but its own and those of the last served weights. */
  setTarget (wanted: WantedWeights | undefined): void {
    if (wanted?.manifest === this.wanted?.manifest) return
    this.fetcher?.stop()
    this.fetcher = undefined
    this.wanted = wanted
    if (wanted === undefined) return
    this.rememberServed()
    this.holdings.retainOnly([wanted.manifest, this.lastServed])
    this.fetcher = this.makeFetcher(this.context, wanted)
    this.fetcher.start()
  }

  get progress (): WeightProgress {
    const manifest = this.wanted?.manifest ?? ''
    const weights = this.holdings.get(manifest)
    if (weights === undefined) return { manifest, held: 0, total: 0 }
    return { manifest, held: heldCount(weights), total: weights.manifest.chunks.length }
  }

  /** Whether every chunk of the wanted weights is held and verified. */
  get isComplete (): boolean {
    const weights = this.holdings.get(this.wanted?.manifest ?? '')
    return weights !== undefined && hasAllChunks(weights)
  }

  get usage (): ExchangeUsage {
    return { heldBytes: this.holdings.bytes, sentBytes: this.uploads.sentBytes, answers: this.uploads.answers }
  }

  stop (): void {
    this.fetcher?.stop()
  }

  /** Serves `/weights/DIGEST`, `/weights/DIGEST/held` and `/chunks/DIGEST` to peers, and `/local/weights/DIGEST` and `/local/chunks/DIGEST` to the engine. */
  handle (request: IncomingMessage, response: ServerResponse, path: readonly string[]): void {
    const [kind = '', digest = '', detail] = path
    if (kind === 'local') {
      this.uploads.handleLocal(response, path[1] ?? '', path[2] ?? '')
      return
    }
    this.recordPeerRequest(request)
    if (kind === 'chunks') runInBackground(this.uploads.sendChunk(request, response, digest), log, 'send a chunk')
    else if (kind === 'weights' && detail === 'held') this.uploads.sendHeld(response, digest, knownVersion(request))
    else if (kind === 'weights') this.uploads.sendManifest(response, digest)
    else sendJson(response, 404, { error: 'no such path' })
  }

  /** Passes on what a peer's request says about its holdings, if it fetches the same manifest in the same data centre. */
  private recordPeerRequest (request: IncomingMessage): void {
    if (headerOf(request, heldHeaderNames.manifest) !== this.wanted?.manifest) return
    if (headerOf(request, heldHeaderNames.dataCentre) !== this.options.dataCentre) return
    this.fetcher?.handlePeerRequest(headerOf(request, heldHeaderNames.instance), request.headers)
  }

  /** Weights that the engine should load: the wanted ones once they are complete, until then the last served ones if these are still held completely. */
  get loadable (): WantedWeights | undefined {
    if (this.wanted === undefined || this.isComplete) return this.wanted
    const previous = this.holdings.get(this.lastServed)
    if (previous === undefined || !hasAllChunks(previous)) return this.wanted
    return { manifest: this.lastServed, finishBy: this.wanted.finishBy }
  }

  /** Whether every chunk of the loadable weights is held and verified. */
  get isLoadable (): boolean {
    const weights = this.holdings.get(this.loadable?.manifest ?? '')
    return weights !== undefined && hasAllChunks(weights)
  }

  /** Whether the engine may be ordered to swap its weights now. */
  maySwap (): boolean {
    const target = this.loadable
    return target !== undefined && this.pacer.maySwap(target)
  }

  /** To be called when the engine may serve other weights: ends its swap, and evicts all other chunks once it serves the wanted weights. */
  refreshServed (): void {
    this.pacer.finishIfServing()
    this.rememberServed()
    if (this.isComplete && this.lastServed === this.wanted?.manifest) this.holdings.retainOnly([this.lastServed])
  }

  private rememberServed (): void {
    const served = this.options.served()
    if (served !== '') this.lastServed = served
  }
}

/** Version of the holdings that the peer already knows, from the query; -1 for none. */
function knownVersion (request: IncomingMessage): number {
  const query = new URLSearchParams((request.url ?? '').split('?')[1] ?? '')
  return Number(query.get('version') ?? '-1')
}
