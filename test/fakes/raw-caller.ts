/** A caller on a raw socket, which tells a complete answer from silence and from a closed connection. */
import { connect, type Socket } from 'node:net'
import { monotonicNow } from '../../src/utils/clock.js'

/** What a caller received for one request; an answer ends with its length, its last chunk or, without either, its connection. */
export type Received =
  | { readonly kind: 'answer', readonly status: number, readonly head: string, readonly body: string }
  | { readonly kind: 'closed', readonly bytes: string }
  | { readonly kind: 'silent', readonly bytes: string }

/** One connection of a caller; one request at a time. */
export class RawCaller {
  private received = ''
  private hasEnded = false
  private handleChange = (): void => {}
  private readonly socket: Socket

  /** `address` is `ip:port`. */
  constructor (address: string) {
    const [host = '', port = ''] = address.split(':')
    this.socket = connect({ host, port: Number(port), noDelay: true })
    this.socket.on('data', (part: Buffer) => {
      this.received += part.toString('latin1')
      this.handleChange()
    })
    this.socket.on('error', () => {})
    this.socket.on('end', () => { this.end() })
    this.socket.on('close', () => { this.end() })
  }

  /** Whether the other side has closed the connection. */
  get isClosed (): boolean {
    return this.hasEnded
  }

  send (bytes: string): void {
    this.socket.write(bytes, 'latin1')
  }

  close (): void {
    this.socket.destroy()
  }

  /** Waits for the answer to the request that was sent, until `deadline`, milliseconds of the monotonic clock. */
  async answer (deadline: number): Promise<Received> {
    for (;;) {
      const answer = this.takeAnswer()
      if (answer !== undefined) return answer
      if (this.hasEnded) return { kind: 'closed', bytes: this.received }
      if (monotonicNow() >= deadline) return { kind: 'silent', bytes: this.received }
      await this.nextChange(deadline)
    }
  }

  private nextChange (deadline: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, Math.max(1, deadline - monotonicNow()))
      this.handleChange = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  private end (): void {
    this.hasEnded = true
    this.handleChange()
  }

  /** Takes a complete answer from the received bytes. */
  private takeAnswer (): Received | undefined {
    const headEnd = this.received.indexOf('\r\n\r\n')
    if (headEnd === -1) return undefined
    const head = this.received.slice(0, headEnd)
    const rest = this.received.slice(headEnd + 4)
    const length = bodyLength(head, rest, this.hasEnded)
    if (length === undefined || rest.length < length) return undefined
    this.received = rest.slice(length)
    return { kind: 'answer', status: Number(head.split(' ')[1]), head, body: rest.slice(0, length) }
  }
}

/** Length of the body with its framing; undefined while that is not known. */
function bodyLength (head: string, rest: string, hasEnded: boolean): number | undefined {
  const length = /^content-length: *(\d+)/im.exec(head)?.[1]
  if (length !== undefined) return Number(length)
  if (!/^transfer-encoding: *chunked/im.test(head)) return hasEnded ? rest.length : undefined
  const end = rest.indexOf('0\r\n\r\n')
  return end === -1 ? undefined : end + 5
}

/** The parts of a request. */
export interface RawRequest {
  readonly id: string
  readonly path: string
  readonly method?: string
  readonly key?: string
  /** Time for which the caller waits, milliseconds. */
  readonly timeoutMilliseconds: number
  /** Time for which the upstream holds the answer, milliseconds. */
  readonly holdMilliseconds?: number
  readonly framing?: 'none' | 'length' | 'chunked'
  readonly body?: string
}

/** Head and body of a request as bytes. */
export function encodeRequest (request: RawRequest): { readonly head: string, readonly body: string } {
  const { id, path, method = 'GET', key, timeoutMilliseconds, holdMilliseconds = 0, framing = 'none', body = '' } = request
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'host: a.example',
    `x-attempt-id: ${id}`,
    `x-deadline-ms: ${timeoutMilliseconds}`,
    `x-hold-ms: ${holdMilliseconds}`,
    ...key === undefined ? [] : [`authorization: Token ${key}`],
    ...framing === 'length' ? [`content-length: ${body.length}`] : framing === 'chunked' ? ['transfer-encoding: chunked'] : []
  ]
  return { head: `${lines.join('\r\n')}\r\n\r\n`, body: framing === 'chunked' ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body }
}
