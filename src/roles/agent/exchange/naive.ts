/** Fetches all chunks from the origin, one after another: the baseline of measurements. */
import { manifestSchema } from '../../../types/platform.js'
import { requestJson } from '../../../transports/http-client.js'
import { runInBackground } from '../../../utils/background.js'
import { waitUntil } from '../../../utils/clock.js'
import { digestValue } from '../../../utils/digest.js'
import { logFor } from '../../../utils/log.js'
import { ChunkFetcher } from './fetcher.js'
import { hasAllChunks, type HeldWeights } from './holdings.js'
import { downloadChunk } from './chunk-download.js'

const log = logFor('exchange')
/** Timeout of one chunk or manifest. */
const timeoutMilliseconds = 600_000
/** Pause after a failure. */
const retryMilliseconds = 200

/** Fetcher without peers; retries until every chunk is held. */
export class NaiveFetcher extends ChunkFetcher {
  start (): void {
    runInBackground(this.fetchAll(), log, 'fetch weights')
  }

  private async fetchAll (): Promise<void> {
    const { signal } = this.stopping
    while (!signal.aborted) {
      try {
        const weights = await this.fetchManifest()
        for (const chunk of weights.manifest.chunks) {
          if (this.context.holdings.chunk(chunk) === undefined) await this.fetchChunk(chunk, weights)
        }
        const held = this.context.holdings.get(weights.digest)
        if (held !== undefined && hasAllChunks(held)) return
      } catch (error) {
        if (!signal.aborted) log.warn('fetch from the origin failed', { reason: String(error) })
        await waitUntil(Date.now() + retryMilliseconds, signal)
      }
    }
  }

  private async fetchManifest (): Promise<HeldWeights> {
    const { manifest: digest } = this.wanted
    const known = this.context.holdings.get(digest)
    if (known !== undefined) return known
    const manifest = manifestSchema.parse(await requestJson({ url: `${this.context.options.origin}/weights/${digest}`, method: 'GET', deadline: Date.now() + timeoutMilliseconds }))
    if (digestValue(manifest) !== digest) throw new Error('the manifest does not match its digest')
    return this.context.holdings.addManifest(digest, manifest)
  }

  private async fetchChunk (digest: string, weights: HeldWeights): Promise<void> {
    const result = await downloadChunk({
      url: `${this.context.options.origin}/chunks/${digest}`,
      digest,
      maximumBytes: weights.manifest.chunkBytes,
      headers: {},
      stallTimeoutMilliseconds: timeoutMilliseconds,
      deadline: Date.now() + timeoutMilliseconds,
      limiter: this.context.incoming,
      signal: this.stopping.signal
    })
    if (this.stopping.signal.aborted) return
    if (result.type !== 'chunk') throw new Error(`chunk fetch failed: ${result.type}`)
    this.context.holdings.addChunk(digest, result.bytes)
    this.context.onChange()
  }
}
