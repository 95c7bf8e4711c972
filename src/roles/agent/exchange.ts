/** Fetches the chunks of the wanted weights, verifies them, and serves them to peers and to the engine. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { manifestSchema, type Manifest } from '../../types/platform.js'
import type { WantedWeights, WeightProgress } from '../../types/weights.js'
import { readAll, requestJson, sendRequest } from '../../transports/http-client.js'
import { sendJson } from '../../transports/http-server.js'
import { digestBytes, digestValue } from '../../utils/digest.js'
import { logFor } from '../../utils/log.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'

const log = logFor('exchange')
const chunkMilliseconds = 30_000
const retryMilliseconds = 200

/** Holder of chunks in memory. */
export class WeightExchange {
  private wanted: WantedWeights | undefined
  private manifest: Manifest | undefined
  private readonly chunks = new Map<string, Buffer>()
  private run = new AbortController()

  constructor (private readonly sources: readonly string[], private readonly onChange: () => void) {}

  /** Sets the target; earlier fetching stops, verified chunks stay until the target is whole. */
  want (wanted: WantedWeights | undefined): void {
    if (wanted?.manifest === this.wanted?.manifest) return
    this.run.abort()
    this.run = new AbortController()
    this.wanted = wanted
    this.manifest = undefined
    if (wanted !== undefined) runInBackground(this.fetchAll(wanted, this.run.signal), log, 'fetch weights')
  }

  get progress (): WeightProgress {
    const total = this.manifest?.chunks.length ?? 0
    const held = this.manifest?.chunks.filter(chunk => this.chunks.has(chunk)).length ?? 0
    return { manifest: this.wanted?.manifest ?? '', held, total }
  }

  /** Whether every chunk of the wanted weights is held and verified. */
  get isWhole (): boolean {
    const { held, total } = this.progress
    return total > 0 && held === total
  }

  stop (): void {
    this.run.abort()
  }

  /** Answers `GET /weights/DIGEST` and `GET /chunks/DIGEST`. */
  handle (_request: IncomingMessage, response: ServerResponse, path: readonly string[]): void {
    const [kind, digest = ''] = path
    if (kind === 'weights' && digest === this.wanted?.manifest && this.manifest !== undefined) {
      sendJson(response, 200, this.manifest)
      return
    }
    const chunk = kind === 'chunks' ? this.chunks.get(digest) : undefined
    if (chunk === undefined) {
      sendJson(response, 404, { error: 'not held here' })
      return
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': chunk.length })
    response.end(chunk)
  }

  private async fetchAll (wanted: WantedWeights, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.manifest ??= await this.fetchManifest(wanted.manifest)
        for (const chunk of this.manifest.chunks) {
          if (!this.chunks.has(chunk) && !signal.aborted) await this.fetchChunk(chunk)
        }
        this.onChange()
        return
      } catch (error) {
        log.warn('a source failed', { reason: String(error) })
        await waitUntil(Date.now() + retryMilliseconds, signal)
      }
    }
  }

  private async fetchManifest (digest: string): Promise<Manifest> {
    const manifest = manifestSchema.parse(await requestJson({ url: `${this.sources[0]}/weights/${digest}`, method: 'GET', deadline: Date.now() + chunkMilliseconds }))
    if (digestValue(manifest) !== digest) throw new Error('the manifest does not match its digest')
    return manifest
  }

  private async fetchChunk (digest: string): Promise<void> {
    const deadline = Date.now() + chunkMilliseconds
    const bytes = await readAll(await sendRequest({ url: `${this.sources[0]}/chunks/${digest}`, method: 'GET', deadline }), deadline)
    if (digestBytes(bytes) !== digest) throw new Error('a chunk does not match its digest')
    this.chunks.set(digest, bytes)
    this.onChange()
  }
}
