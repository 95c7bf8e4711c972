/** Sends chunks to other agents, a few at a time and at a rate that leaves bandwidth for other traffic. */
import type { ServerResponse } from 'node:http'
import { decideUpload } from '../../core/weights/upload.js'
import { LinkLimiter } from '../../utils/link-limiter.js'
import { monotonicNow } from '../../utils/clock.js'

/** Share of the machine's link that uploads may use; load reports are lost on a saturated link. */
const linkShare = 0.92
/** Timeout of one upload, milliseconds; the receiving agent waits no longer than that. */
const uploadTimeoutMilliseconds = 1500
/** Weight of the newest upload in the moving average of the upload time. */
const newestWeight = 0.2

/** Uploads of one agent. */
export class ChunkUploads {
  private readonly limiter: LinkLimiter
  private running = 0
  private averageMilliseconds = 0

  /** `bytesPerSecond` is the capacity of the link; 0 for no limit. */
  constructor (bytesPerSecond: number) {
    this.limiter = new LinkLimiter(bytesPerSecond * linkShare)
  }

  /** Sends a chunk, or answers 503 with `retry-after` in seconds when all upload slots are taken. */
  async send (chunk: Buffer, response: ServerResponse): Promise<void> {
    const decision = decideUpload({ running: this.running, finishBy: 0, earliestFinishBy: 0, uploadMilliseconds: this.averageMilliseconds })
    if (decision.type === 'busy') {
      response.writeHead(503, { 'retry-after': String(decision.retryMilliseconds / 1000) }).end()
      return
    }
    const startedAt = monotonicNow()
    this.running += 1
    try {
      await this.limiter.take(chunk.length)
      await sendBody(chunk, response)
    } finally {
      this.running -= 1
      this.averageMilliseconds += (monotonicNow() - startedAt - this.averageMilliseconds) * newestWeight
    }
  }
}

/** Sends a body; resolves when it is sent, when the connection is closed, or after the timeout, which closes it. */
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
