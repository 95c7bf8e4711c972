/** Serves manifests, holdings and chunks: to peers within the link's pace, to the own engine without limit. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatBitmap } from '../../../core/weights/bitmap.js'
import { decideUpload } from '../../../core/weights/upload.js'
import { headerOf, sendJson } from '../../../transports/http-server.js'
import { LinkLimiter, sliceBytes } from '../../../utils/link-limiter.js'
import { heldHeaderNames, heldHeaders, type HeldWeights, type Holdings } from './holdings.js'
import type { ExchangeOptions, HeldAnswer } from './options.js'
import type { SwapPacer } from './swap-pacer.js'

const deadlineRetentionMilliseconds = 2000
const uploadTimeoutMilliseconds = 120_000

/** The serving half of the exchange. */
export class Uploads {
  private running = 0
  private uploadMilliseconds = 0
  private earliestDeadline = { finishBy: Number.MAX_SAFE_INTEGER, until: 0 }
  /** Bytes of chunks sent to peers. */
  sentBytes = 0
  /** Answers given to peers. */
  readonly answers = { chunks: 0, busy: 0, missing: 0, held: 0 }

  constructor (private readonly options: ExchangeOptions, private readonly holdings: Holdings, private readonly outgoing: LinkLimiter, private readonly pacer: SwapPacer) {}

  /** Answers the engine of this instance. */
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

  /** Answers `GET /weights/DIGEST`. */
  sendManifest (response: ServerResponse, digest: string): void {
    const weights = this.holdings.get(digest)
    if (weights === undefined) sendJson(response, 404, { error: 'not known here' })
    else sendJson(response, 200, weights.manifest)
  }

  /** Answers `GET /weights/DIGEST/held`. */
  sendHeld (response: ServerResponse, digest: string, knownVersion: number): void {
    this.answers.held += 1
    const weights = this.holdings.get(digest)
    const { inFlight, limit } = this.options.load()
    const version = weights?.version ?? 0
    const sets = weights === undefined || version === knownVersion ? {} : { held: formatBitmap(weights.held), seen: formatBitmap(weights.seen) }
    const answer: HeldAnswer = { instance: this.options.instance, version, ...sets, served: this.options.served(), swap: this.pacer.state, inFlight, limit, changeMilliseconds: this.pacer.lastSwapMilliseconds }
    sendJson(response, 200, answer)
  }

  /** Answers `GET /chunks/DIGEST` of a peer. */
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
    const started = Date.now()
    const deadline = setTimeout(() => { response.destroy() }, uploadTimeoutMilliseconds)
    const gone = new AbortController()
    response.once('close', () => { if (!response.writableFinished) gone.abort() })
    this.running += 1
    try {
      await this.writeSlices(response, chunk, gone.signal)
      response.end()
      this.uploadMilliseconds += (Date.now() - started - this.uploadMilliseconds) / 4
    } finally {
      this.running -= 1
      clearTimeout(deadline)
    }
  }

  private async writeSlices (response: ServerResponse, chunk: Buffer, gone: AbortSignal): Promise<void> {
    for (let offset = 0; offset < chunk.length; offset += sliceBytes) {
      const slice = chunk.subarray(offset, offset + sliceBytes)
      await this.outgoing.take(slice.length, gone)
      if (gone.aborted) return
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

  private recordDeadline (finishBy: number): void {
    const now = Date.now()
    if (finishBy <= this.earliestDeadline.finishBy || now > this.earliestDeadline.until) this.earliestDeadline = { finishBy, until: now + deadlineRetentionMilliseconds }
  }
}

function waitForDrain (response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.once('drain', finish)
    response.once('close', finish)
  })
}
