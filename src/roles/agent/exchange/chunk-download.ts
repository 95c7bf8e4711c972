/** Download of one chunk: rate limited, hashed while it arrives, aborted when it stalls. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, IncomingHttpHeaders } from 'node:http'
import { isComplete } from '../../../transports/answer-end.js'
import { discardBody, briefDiscardLimits } from '../../../transports/discard-body.js'
import { sendRequest } from '../../../transports/http-client.js'
import type { LinkLimiter } from '../../../utils/link-limiter.js'
import { heldHeaderNames } from './holdings.js'

/** A chunk to download. */
export interface ChunkRequest {
  readonly url: string
  /** Expected SHA-256 of the bytes, hexadecimal. */
  readonly digest: string
  /** Size above which the chunk counts as corrupt. */
  readonly maximumBytes: number
  readonly headers: Readonly<Record<string, string>>
  /** Inactivity timeout, milliseconds; it restarts whenever bytes arrive. */
  readonly stallTimeoutMilliseconds: number
  /** Epoch milliseconds by which the complete chunk must have arrived. */
  readonly deadline: number
  readonly limiter: LinkLimiter
  readonly signal: AbortSignal
}

/** Outcome of a download; `retryAt` is in epoch milliseconds. */
export type ChunkResult =
  | { readonly type: 'chunk', readonly bytes: Buffer, readonly headers: IncomingHttpHeaders }
  | { readonly type: 'busy', readonly retryAt: number, readonly headers: IncomingHttpHeaders }
  | { readonly type: 'missing', readonly headers: IncomingHttpHeaders }
  | { readonly type: 'corrupt', readonly receivedBytes: number }
  | { readonly type: 'failed', readonly reason: string }

/** Retry time of a busy source that names none. */
const defaultRetryMilliseconds = 100

/** Downloads and verifies a chunk; never rejects. */
export async function downloadChunk (request: ChunkRequest): Promise<ChunkResult> {
  try {
    const deadline = Math.min(request.deadline, Date.now() + request.stallTimeoutMilliseconds)
    const response = await sendRequest({ url: request.url, method: 'GET', headers: request.headers, deadline, signal: request.signal })
    if (response.statusCode === 200) return await readChunk(response, request)
    discardBody(response, briefDiscardLimits())
    const { headers } = response
    if (response.statusCode === 503 || response.statusCode === 429) return { type: 'busy', retryAt: retryAtOf(headers), headers }
    return { type: 'missing', headers }
  } catch (error) {
    return { type: 'failed', reason: String(error) }
  }
}

async function readChunk (response: IncomingMessage, request: ChunkRequest): Promise<ChunkResult> {
  const hash = createHash('sha256')
  const parts: Buffer[] = []
  let size = 0
  const abortStalled = (): void => { response.destroy(new Error('chunk download stalled')) }
  const remainingMilliseconds = (): number => Math.max(0, Math.min(request.deadline - Date.now(), request.stallTimeoutMilliseconds))
  let timer = setTimeout(abortStalled, remainingMilliseconds())
  try {
    for await (const part of response) {
      clearTimeout(timer)
      const bytes = part as Buffer
      size += bytes.length
      if (size > request.maximumBytes) return corrupt(response, size)
      hash.update(bytes)
      parts.push(bytes)
      await request.limiter.take(bytes.length, request.signal)
      timer = setTimeout(abortStalled, remainingMilliseconds())
    }
  } finally {
    clearTimeout(timer)
  }
  if (!isComplete(response)) return { type: 'failed', reason: 'connection closed before the chunk was complete' }
  if (hash.digest('hex') !== request.digest) return corrupt(response, size)
  return { type: 'chunk', bytes: Buffer.concat(parts), headers: response.headers }
}

function corrupt (response: IncomingMessage, receivedBytes: number): ChunkResult {
  response.destroy()
  return { type: 'corrupt', receivedBytes }
}

function retryAtOf (headers: IncomingHttpHeaders): number {
  const exact = Number(headers[heldHeaderNames.retryMilliseconds])
  if (Number.isFinite(exact) && exact > 0) return Date.now() + exact
  const seconds = Number(headers['retry-after'])
  return Date.now() + (Number.isFinite(seconds) && seconds > 0 ? seconds * 1000 : defaultRetryMilliseconds)
}
