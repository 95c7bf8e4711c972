/** Stand-in of the origin and of the weight store: serves generated weights over one link that all answers share. */
import type { Server, ServerResponse } from 'node:http'
import type { NamedManifest } from '../src/types/weights.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { LinkLimiter, sliceBytes } from '../src/utils/link-limiter.js'
import { seededRandom } from '../src/utils/random.js'
import { listenHttp, readJson, sendJson } from './http.js'

/** Faults and limits, set through the control port. */
export interface WeightFaults {
  /** Whether every request is answered with status 503. */
  outage: boolean
  /** Probability that a chunk is sent corrupt. */
  corrupt: number
  /** Probability that a request is accepted and never answered. */
  stall: number
  /** Probability that the connection is closed in the middle of an answer. */
  lost: number
  /** Bytes per second of all answers together; 0 for no limit. */
  linkBytes: number
  /** Maximum concurrent answers with chunks, at which further requests are answered with status 503; 0 for no limit. */
  mostAnswers: number
}

/** Manifest and chunks, by digest, of one generated version of weights. */
export interface GeneratedWeights {
  readonly named: NamedManifest
  readonly chunks: ReadonlyMap<string, Buffer>
}

/** Generates a version of weights; the bytes depend on its name and size only. */
export function generateWeights (model: string, adapter: string | null, version: string, totalBytes: number, chunkBytes: number): GeneratedWeights {
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

/** The stand-in source; `seed` makes its faults repeatable. */
export class WeightsStandIn {
  readonly faults: WeightFaults = { outage: false, corrupt: 0, stall: 0, lost: 0, linkBytes: 0, mostAnswers: 0 }
  private readonly manifests = new Map<string, NamedManifest>()
  private readonly chunks = new Map<string, Buffer>()
  private readonly random: () => number
  private link = new LinkLimiter(0)
  private activeAnswers = 0
  /** Bytes of chunks sent since the start. */
  sentBytes = 0
  /** Epoch milliseconds at which the first bytes of a chunk were sent; 0 before. */
  firstByteAt = 0
  /** Epoch milliseconds at which bytes of a chunk were last sent; 0 before. */
  lastByteAt = 0
  /** Number of requests for each chunk, by digest. */
  readonly requestCounts = new Map<string, number>()

  constructor (seed = 1) {
    this.random = seededRandom(seed)
  }

  add (weights: GeneratedWeights): void {
    this.manifests.set(weights.named.digest, weights.named)
    for (const [digest, chunk] of weights.chunks) this.chunks.set(digest, chunk)
  }

  /** Sets faults and limits. */
  setFaults (faults: Partial<WeightFaults>): void {
    Object.assign(this.faults, faults)
    if (faults.linkBytes !== undefined) this.link = new LinkLimiter(faults.linkBytes)
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (_request, response, path) => {
      if (this.isStalled()) return undefined
      if (this.faults.outage || this.isAtCapacity()) {
        sendJson(response, 503, { error: 'the source takes no more now' })
        return undefined
      }
      const [kind, digest = ''] = path
      if (kind === 'weights') return this.manifests.get(digest)?.manifest ?? sendNotFound(response)
      const chunk = kind === 'chunks' ? this.chunks.get(digest) : undefined
      if (chunk === undefined) return sendNotFound(response)
      this.requestCounts.set(digest, (this.requestCounts.get(digest) ?? 0) + 1)
      await this.sendChunk(response, chunk)
      return undefined
    })
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'weights') {
        const { model, adapter, version, totalBytes, chunkBytes } = await readJson<{ model: string, adapter: string | null, version: string, totalBytes: number, chunkBytes: number }>(request)
        const weights = generateWeights(model, adapter, version, totalBytes, chunkBytes)
        this.add(weights)
        return weights.named
      }
      if (request.method === 'POST') this.setFaults(await readJson<Partial<WeightFaults>>(request))
      return { ...this.faults, sentBytes: this.sentBytes }
    })
  }

  private isStalled (): boolean {
    return this.faults.stall > 0 && this.random() < this.faults.stall
  }

  private isAtCapacity (): boolean {
    return this.faults.mostAnswers > 0 && this.activeAnswers >= this.faults.mostAnswers
  }

  private async sendChunk (response: ServerResponse, chunk: Buffer): Promise<void> {
    const isCorrupt = this.faults.corrupt > 0 && this.random() < this.faults.corrupt
    const isLost = this.faults.lost > 0 && this.random() < this.faults.lost
    const bytes = isCorrupt ? Buffer.concat([chunk.subarray(1), chunk.subarray(0, 1)]) : chunk
    this.activeAnswers += 1
    try {
      response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes.length })
      await this.writeSlices(response, isLost ? bytes.subarray(0, bytes.length >> 1) : bytes)
      if (isLost) response.destroy()
      else response.end()
    } finally {
      this.activeAnswers -= 1
    }
  }

  private async writeSlices (response: ServerResponse, bytes: Buffer): Promise<void> {
    for (let offset = 0; offset < bytes.length && !response.destroyed; offset += sliceBytes) {
      const slice = bytes.subarray(offset, offset + sliceBytes)
      await this.link.take(slice.length)
      this.sentBytes += slice.length
      this.lastByteAt = Date.now()
      if (this.firstByteAt === 0) this.firstByteAt = this.lastByteAt
      response.write(slice)
    }
  }
}

function sendNotFound (response: ServerResponse): undefined {
  sendJson(response, 404, { error: 'not here' })
  return undefined
}
