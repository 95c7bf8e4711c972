/** Stand-in of the origin and of the weight store: chunks of seeded weights behind one rate-limited link. */
import type { Server, ServerResponse } from 'node:http'
import type { NamedManifest } from '../src/types/weights.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { seededRandom } from '../src/utils/random.js'
import { listenHttp, readJson, sendJson } from './http.js'

/** Faults that the control port sets. */
export interface WeightFaults {
  outage: boolean
  /** Probability that a chunk is sent corrupt. */
  corrupt: number
  /** Bytes a second for all answers together; 0 for no limit. */
  linkBytes: number
}

/** Bytes of one version of weights, made from its name. */
export function makeWeights (model: string, adapter: string | null, version: string, totalBytes: number, chunkBytes: number): { readonly named: NamedManifest, readonly chunks: ReadonlyMap<string, Buffer> } {
  const random = seededRandom(parseInt(digestBytes(`${model}/${adapter ?? ''}/${version}`).slice(0, 8), 16))
  const bytes = Buffer.alloc(totalBytes)
  for (let offset = 0; offset < totalBytes; offset += 4) bytes.writeUInt32LE(Math.floor(random() * 4294967296), Math.min(offset, totalBytes - 4))
  const chunks = new Map<string, Buffer>()
  const order: string[] = []
  for (let offset = 0; offset < totalBytes; offset += chunkBytes) {
    const chunk = bytes.subarray(offset, Math.min(totalBytes, offset + chunkBytes))
    const digest = digestBytes(chunk)
    chunks.set(digest, chunk)
    order.push(digest)
  }
  const manifest = { model, adapter, version, chunkBytes, totalBytes, chunks: order }
  return { named: { digest: digestValue(manifest), manifest }, chunks }
}

/** The source; `add` puts weights into it. */
export class WeightsStandIn {
  readonly faults: WeightFaults = { outage: false, corrupt: 0, linkBytes: 0 }
  private readonly manifests = new Map<string, NamedManifest>()
  private readonly chunks = new Map<string, Buffer>()
  private readonly random: () => number
  private free = Date.now()
  /** Bytes of chunks sent since the start. */
  sentBytes = 0

  constructor (seed = 1) {
    this.random = seededRandom(seed)
  }

  add (weights: ReturnType<typeof makeWeights>): void {
    this.manifests.set(weights.named.digest, weights.named)
    for (const [digest, chunk] of weights.chunks) this.chunks.set(digest, chunk)
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (_request, response, path) => {
      if (this.faults.outage) {
        sendJson(response, 503, { error: 'the source is out' })
        return undefined
      }
      const [kind, digest] = path
      if (kind === 'weights' && digest !== undefined) return this.manifests.get(digest)?.manifest ?? missing(response)
      const chunk = kind === 'chunks' && digest !== undefined ? this.chunks.get(digest) : undefined
      if (chunk === undefined) return missing(response)
      await this.sendChunk(response, chunk)
      return undefined
    })
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'weights') {
        const { model, adapter, version, totalBytes, chunkBytes } = await readJson<{ model: string, adapter: string | null, version: string, totalBytes: number, chunkBytes: number }>(request)
        const weights = makeWeights(model, adapter, version, totalBytes, chunkBytes)
        this.add(weights)
        return weights.named
      }
      if (request.method === 'POST') Object.assign(this.faults, await readJson<Partial<WeightFaults>>(request))
      return { ...this.faults, sentBytes: this.sentBytes }
    })
  }

  private async sendChunk (response: ServerResponse, chunk: Buffer): Promise<void> {
    if (this.faults.linkBytes > 0) {
      this.free = Math.max(this.free, Date.now()) + chunk.length / this.faults.linkBytes * 1000
      await new Promise(resolve => setTimeout(resolve, this.free - Date.now()))
    }
    const corrupt = this.random() < this.faults.corrupt
    const bytes = corrupt ? Buffer.concat([chunk.subarray(1), chunk.subarray(0, 1)]) : chunk
    this.sentBytes += bytes.length
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes.length })
    response.end(bytes)
  }
}

function missing (response: ServerResponse): undefined {
  sendJson(response, 404, { error: 'not here' })
  return undefined
}
