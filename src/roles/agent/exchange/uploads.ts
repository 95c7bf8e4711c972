/** Serves manifests, holdings and chunks: to peers within the rate limit of the link, to the local engine without limit. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatBitmap } from '../../../core/weights/bitmap.js'
import { decideUpload } from '../../../core/weights/upload.js'
import { headerOf, sendJson } from '../../../transports/http-server.js'
import { LinkLimiter, sliceBytes } from '../../../utils/link-limiter.js'
import { heldHeaderNames, heldHeaders, type HeldWeights, type Holdings } from './holdings.js'
import type { ExchangeOptions, HeldAnswer } from './options.js'
import type { SwapPacer } from './swap-pacer.js'

/** How long the earliest deadline of requesting peers is remembered. */
const deadlineRetentionMilliseconds = 2000
/** Timeout of one upload. */
const uploadTimeoutMilliseconds = 120_000

/** Upload side of the exchange. */
export class Uploads {
  private running = 0
  /** Moving average of the upload duration; 0 before the first upload. */
  private uploadMilliseconds = 0
  /** Earliest deadline of recent requests, remembered until `until`; both in epoch milliseconds. */
  private earliestDeadline = { finishBy: Number.MAX_SAFE_INTEGER, until: 0 }
  /** Bytes of chunks sent to peers. */
  sentBytes = 0
  /** Number of answers to peers, by kind. */
  readonly answers = { chunks: 0, busy: 0, missing: 0, held: 0 }

  constructor (private readonly options: ExchangeOptions, private readonly holdings: Holdings, private readonly outgoing: LinkLimiter, private readonly pacer: SwapPacer) {}

  /** Serves a manifest (`weights`) or a chunk (`chunks`) to the engine of this instance. */
  handleLocal (response: ServerResponse, kind: string, digest: string): void {
    const weights = this.holdings.get(digest)
    if (kind === 'weights' && weights !== undefined) {
      sendJson(response, 200, weights.manifest)
      return
    }
    const chunk = kind === 'chunks' ? this.holdings.chunk(digest) : undefined
    if (chunk === undefined) {
      sendJson(response, 404, { error: 'not held here' })
      return
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': chunk.length })
    response.end(chunk)
  }

  /** Answers `GET /weights/DIGEST` with the manifest. */
  sendManifest (response: ServerResponse, digest: string): void {
    const weights = this.holdings.get(digest)
    if (weights === undefined) sendJson(response, 404, { error: 'not known here' })
    else sendJson(response, 200, weights.manifest)
  }

  /** Answers `GET /weights/DIGEST/held`; without the bitmaps if the peer knows their current version. */
  sendHeld (response: ServerResponse, digest: string, knownVersion: number): void {
    this.answers.held += 1
    const weights = this.holdings.get(digest)
    const { inFlight, limit } = this.options.load()
    const version = weights?.version ?? 0
    const sets = weights === undefined || version === knownVersion ? {} : { held: formatBitmap(weights.held), seen: formatBitmap(weights.seen) }
    const answer: HeldAnswer = { instance: this.options.instance, version, ...sets, served: this.options.served(), swap: this.pacer.state, inFlight, limit, changeMilliseconds: this.pacer.lastSwapMilliseconds }
    sendJson(response, 200, answer)
  }

  /** Answers `GET /chunks/DIGEST` of a peer: the chunk, 404 if it is not held, or 503 with a retry time. */
  async sendChunk (request: IncomingMessage, response: ServerResponse, digest: string): Promise<void> {
    const chunk = this.holdings.chunk(digest)
    const weights = this.holdings.get(headerOf(request, heldHeaderNames.manifest))
    const headers = weights === undefined ? {} : this.headers(weights)
    if (chunk === undefined) {
      this.answers.missing += 1
      this.refuse(response, 404, headers)
      return
    }
    const finishBy = Number(headerOf(request, heldHeaderNames.finishBy)) || Number.MAX_SAFE_INTEGER
    this.recordDeadline(finishBy)
    const decision = decideUpload({ running: this.running, finishBy, earliestFinishBy: this.earliestDeadline.finishBy, uploadMilliseconds: this.uploadMilliseconds })
    if (decision.type === 'busy') {
      this.answers.busy += 1
      this.refuse(response, 503, { ...headers, [heldHeaderNames.retryMilliseconds]: String(decision.retryMilliseconds) })
      return
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': chunk.length, ...headers })
    this.answers.chunks += 1
    await this.upload(response, chunk)
  }

  private async upload (response: ServerResponse, chunk: Buffer): Promise<void> {
    const startedAt = Date.now()
    const deadline = setTimeout(() => { response.destroy() }, uploadTimeoutMilliseconds)
    const disconnected = new AbortController()
    response.once('close', () => { if (!response.writableFinished) disconnected.abort() })
    this.running += 1
    try {
      await this.writeSlices(response, chunk, disconnected.signal)
      response.end()
      this.uploadMilliseconds += (Date.now() - startedAt - this.uploadMilliseconds) / 4
    } finally {
      this.running -= 1
      clearTimeout(deadline)
    }
  }

  private async writeSlices (response: ServerResponse, chunk: Buffer, disconnected: AbortSignal): Promise<void> {
    for (let offset = 0; offset < chunk.length; offset += sliceBytes) {
      const slice = chunk.subarray(offset, offset + sliceBytes)
      await this.outgoing.take(slice.length, disconnected)
      if (disconnected.aborted) return
      this.sentBytes += slice.length
      if (!response.write(slice)) await waitForDrain(response)
    }
  }

  private refuse (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
    response.writeHead(status, { 'content-length': 0, ...headers })
    response.end()
  }

  private headers (weights: HeldWeights): Readonly<Record<string, string>> {
    return { ...heldHeaders(weights), [heldHeaderNames.instance]: this.options.instance }
  }

  /** Remembers the earliest deadline of recent requests. */
  private recordDeadline (finishBy: number): void {
    const now = Date.now()
    if (finishBy <= this.earliestDeadline.finishBy || now > this.earliestDeadline.until) this.earliestDeadline = { finishBy, until: now + deadlineRetentionMilliseconds }
  }
}

/** Resolves once the response can take more bytes, or is closed. */
function waitForDrain (response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const resume = (): void => {
      response.off('drain', resume)
      response.off('close', resume)
      resolve()
    }
    response.once('drain', resume)
    response.once('close', resume)
  })
}
