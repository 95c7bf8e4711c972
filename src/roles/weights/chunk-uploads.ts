/** Sends chunks to other agents, a few at a time and at a pace that leaves room on the link. */
import type { ServerResponse } from 'node:http'
import { decideUpload } from '../../core/weights/upload.js'
import { LinkLimiter } from '../../utils/link-limiter.js'
import { steadyNow } from '../../utils/clock.js'

/** Part of the machine's link that chunks may use: load reports are lost on a full one. */
const linkShare = 0.92
/** Longest time of one upload, milliseconds: as long as the other side waits. */
const uploadTimeoutMilliseconds = 1500
/** Weight of the newest upload in the usual length. */
const newestWeight = 0.2

/** Uploads of one agent. */
export class ChunkUploads {
  private readonly limiter: LinkLimiter
  private running = 0
  private averageMilliseconds = 0

  /** `bytesPerSecond` is what the link carries; 0 for no limit. */
  constructor (bytesPerSecond: number) {
    this.limiter = new LinkLimiter(bytesPerSecond * linkShare)
  }

  /** Sends a chunk, or says when to ask again. */
  async send (chunk: Buffer, response: ServerResponse): Promise<void> {
    const decision = decideUpload({ running: this.running, finishBy: 0, earliestFinishBy: 0, uploadMilliseconds: this.averageMilliseconds })
    if (decision.type === 'busy') {
      response.writeHead(503, { 'retry-after': String(decision.retryMilliseconds / 1000) }).end()
      return
    }
    const startedAt = steadyNow()
    this.running += 1
    try {
      await this.limiter.take(chunk.length)
      await sendBody(chunk, response)
    } finally {
      this.running -= 1
      this.averageMilliseconds += (steadyNow() - startedAt - this.averageMilliseconds) * newestWeight
    }
  }
}

/** Sends a body; resolves when it is out, when its connection is gone, or when it takes too long. */
function sendBody (body: Buffer, response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (response.destroyed) {
      resolve()
      return
    }
    const timer = setTimeout(() => { response.destroy() }, uploadTimeoutMilliseconds)
    response.on('close', () => {
      clearTimeout(timer)
      resolve()
    })
    response.end(body)
  })
}
