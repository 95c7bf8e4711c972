/** Exchange of weights: fetches the wanted weights, and serves them to peers and to the engine. */
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

/** Memory and traffic of an exchange. */
export interface ExchangeUsage {
  readonly heldBytes: number
  readonly sentBytes: number
  readonly answers: Readonly<Record<'chunks' | 'busy' | 'missing' | 'held', number>>
}

/** Makes the fetcher of one manifest. */
export type MakeFetcher = (context: FetchContext, wanted: WantedWeights) => ChunkFetcher

const makeSwarm: MakeFetcher = (context, wanted) => new SwarmFetcher(context, wanted)

/** The exchange of one instance. */
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

  /** Sets the target; fetching of another one stops, chunks of the served weights stay. */
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

  /** Bytes of chunks in memory, bytes sent to peers, and answers given to them. */
  get usage (): ExchangeUsage {
    return { heldBytes: this.holdings.bytes, sentBytes: this.uploads.sentBytes, answers: this.uploads.answers }
  }

  stop (): void {
    this.fetcher?.stop()
  }

  /** Answers `/weights/DIGEST`, `/weights/DIGEST/held` and `/chunks/DIGEST`, and the same under `/local` for the engine. */
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

  private recordPeerRequest (request: IncomingMessage): void {
    if (headerOf(request, heldHeaderNames.manifest) !== this.wanted?.manifest) return
    if (headerOf(request, heldHeaderNames.dataCentre) !== this.options.dataCentre) return
    this.fetcher?.handlePeerRequest(headerOf(request, heldHeaderNames.instance), request.headers)
  }

  /** What the engine should have now: the wanted weights once they are whole, until then the ones that it served before. */
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

  /** Whether the engine may be away for a change of weights now. */
  maySwap (): boolean {
    const target = this.loadable
    return target !== undefined && this.pacer.maySwap(target)
  }

  /** The engine's weights may have changed: drops the chunks that neither it nor the target needs. */
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

function knownVersion (request: IncomingMessage): number {
  const query = new URLSearchParams((request.url ?? '').split('?')[1] ?? '')
  return Number(query.get('version') ?? '-1')
}
