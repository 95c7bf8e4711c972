/** A caller that follows the protocol: it asks which entry to use, keeps the answer until it expires, and checks what it gets. */
import { Agent, request, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import { headers, type AnswerLine, type LocateAnswer, type Outcome } from '../src/types/messages.js'
import { waitUntil } from '../src/utils/clock.js'
import { digestBytes } from '../src/utils/digest.js'
import { tokenAt } from '../stand-in/engine.js'

/** How one call ended for the caller: `cut` has neither an end nor a stated failure; `wrong` passed for whole and was not. */
export type CallEnd = 'whole' | 'not-run' | 'unknown' | 'run' | 'cut' | 'unreached' | 'wrong'

/** One call as it is sent. */
export interface Call {
  readonly service: string
  readonly operation: string
  readonly kind: 'model' | 'plain'
  /** Prompt of a model call, body of a plain one; unique among all calls. */
  readonly text: string
  readonly tokens: number
  /** Empty for a call without Idempotency-Key. */
  readonly key: string
  /** Epoch milliseconds. */
  readonly deadline: number
}

/** What became of one sending of a call. */
export interface Sending {
  readonly call: Call
  readonly organisation: string
  readonly entry: string
  /** Request id that the system stated, empty if none came. */
  readonly id: string
  readonly end: CallEnd
  readonly failure: string
  /** Weights of a whole answer of a model. */
  readonly weights: string
  /** Epoch milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
  /** Epoch milliseconds at which the system asks the caller to come back, 0 if it does not. */
  readonly retryAt: number
}

interface Answer { readonly head: IncomingMessage, readonly text: string, readonly complete: boolean }

/** A caller of one organisation. */
export class Caller {
  private located: LocateAnswer | undefined
  /** Entries that could not be reached, with the epoch milliseconds until which they are avoided. */
  private readonly unreached = new Map<string, number>()
  private readonly connections = new Agent({ keepAlive: true, maxSockets: 64 })

  /** `known` holds addresses of entries that the caller was told of beforehand. */
  constructor (readonly organisation: string, private readonly known: readonly string[]) {}

  /** Entry to use now; asks again once the last answer expired. */
  async locate (): Promise<string> {
    if (this.located !== undefined && Date.now() < this.located.until) return this.choose(this.located)
    const candidates = [...new Set([this.located?.address, ...this.located?.others ?? [], ...this.known])]
    for (const candidate of candidates) {
      if (candidate === undefined) continue
      const located = await this.ask(candidate)
      if (located === undefined) continue
      this.located = located
      return this.choose(located)
    }
    return this.known[0] ?? ''
  }

  /** The entry that the system named, or the next one while that cannot be reached. */
  private choose ({ address, others }: LocateAnswer): string {
    const now = Date.now()
    return [address, ...others].find(entry => (this.unreached.get(entry) ?? 0) < now) ?? address
  }

  /** Other entries than the one in use, for a call that is sent again elsewhere. */
  get others (): readonly string[] {
    return this.located?.others ?? this.known
  }

  /** Sends a call to an entry, the located one unless another is named. */
  async send (call: Call, elsewhere?: string): Promise<Sending> {
    const entry = elsewhere ?? await this.locate()
    const sentAt = Date.now()
    const base = { call, organisation: this.organisation, entry, sentAt }
    try {
      const answer = await this.post(call, entry)
      return { ...base, ...judge(call, answer), endedAt: Date.now() }
    } catch (error) {
      this.unreached.set(entry, Date.now() + avoidMilliseconds)
      const reached = !(error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED')
      return { ...base, id: '', end: reached ? 'cut' : 'unreached', failure: String(error), weights: '', endedAt: Date.now(), retryAt: 0 }
    }
  }

  /** Sends a call until it is answered or its deadline passes; sends again only what may be sent again. */
  async persist (call: Call): Promise<readonly Sending[]> {
    const sendings: Sending[] = []
    while (Date.now() < call.deadline) {
      const sending = await this.send(call)
      sendings.push(sending)
      if (!maySendAgain(sending)) break
      await waitUntil(Math.min(call.deadline, Math.max(sending.retryAt, Date.now() + pauseMilliseconds)))
    }
    return sendings
  }

  close (): void {
    this.connections.destroy()
  }

  private async ask (entry: string): Promise<LocateAnswer | undefined> {
    try {
      const answer = await this.exchange(`http://${entry}/locate?organisation=${this.organisation}`, 'GET', {}, '', Date.now() + locateMilliseconds)
      return answer.complete && answer.head.statusCode === 200 ? JSON.parse(answer.text) as LocateAnswer : undefined
    } catch {
      return undefined
    }
  }

  private async post (call: Call, entry: string): Promise<Answer> {
    const body = call.kind === 'model' ? JSON.stringify({ prompt: call.text, maximumTokens: call.tokens }) : call.text
    const sent: OutgoingHttpHeaders = {
      [headers.organisation]: this.organisation,
      [headers.deadline]: String(call.deadline),
      'content-length': Buffer.byteLength(body)
    }
    if (call.key !== '') sent[headers.idempotencyKey] = call.key
    return await this.exchange(`http://${entry}/services/${call.service}/${call.operation}`, 'POST', sent, body, call.deadline + graceMilliseconds)
  }

  private exchange (url: string, method: string, sent: OutgoingHttpHeaders, body: string, deadline: number): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const call = request(url, { method, agent: this.connections, headers: sent })
      const timer = setTimeout(() => { call.destroy(new Error('the caller gave up')) }, Math.max(0, deadline - Date.now()))
      call.on('error', error => {
        clearTimeout(timer)
        reject(error)
      })
      call.on('response', head => {
        let text = ''
        head.setEncoding('utf8')
        head.on('data', part => { text += String(part) })
        head.on('error', () => {})
        head.on('close', () => {
          clearTimeout(timer)
          resolve({ head, text, complete: head.complete })
        })
      })
      call.end(body)
    })
  }
}

const pauseMilliseconds = 50
const locateMilliseconds = 1000
const avoidMilliseconds = 2000
/** The system answers by the deadline; this much later the caller gives up on its own. */
const graceMilliseconds = 3000

/** A call that did not run may be sent again, and one with a key always. */
function maySendAgain ({ end, call, failure, retryAt }: Sending): boolean {
  if (end === 'unreached') return true
  if (end === 'not-run') return retryAt > 0 || failure === ''
  return (end === 'unknown' || end === 'cut') && call.key !== ''
}

type Judged = Pick<Sending, 'id' | 'end' | 'failure' | 'weights' | 'retryAt'>

function judge (call: Call, answer: Answer): Judged {
  const id = String(answer.head.headers[headers.requestId] ?? '')
  const nothing = { id, failure: '', weights: '', retryAt: 0 }
  const failure = answer.head.headers[headers.failure]
  if (failure !== undefined) return { ...nothing, end: statedEnd(String(answer.head.headers[headers.outcome])), failure: String(failure), retryAt: retryAtOf(answer) }
  if (!answer.complete) return { ...nothing, end: 'cut', failure: 'the answer was cut' }
  if (answer.head.statusCode !== 200) return { ...nothing, end: 'unknown', failure: `status ${answer.head.statusCode}: ${answer.text.slice(0, 100)}` }
  return call.kind === 'model' ? judgeTokens(call, answer, nothing) : judgeBody(call, answer, nothing)
}

function statedEnd (outcome: string): CallEnd {
  return (['not-run', 'unknown', 'run'] as const satisfies readonly Outcome[]).find(known => known === outcome) ?? 'unknown'
}

function retryAtOf (answer: Answer): number {
  const seconds = Number(answer.head.headers[headers.retryAfter] ?? 0)
  try {
    const stated = (JSON.parse(answer.text) as { retryAt?: number }).retryAt
    return stated ?? Date.now() + seconds * 1000
  } catch {
    return Date.now() + seconds * 1000
  }
}

function judgeBody (call: Call, answer: Answer, nothing: Omit<Judged, 'end'>): Judged {
  const { operation, body } = JSON.parse(answer.text) as { operation: string, body: string }
  const right = operation === call.operation && body === digestBytes(call.text)
  return { ...nothing, end: right ? 'whole' : 'wrong', failure: right ? '' : 'the answer belongs to another request' }
}

function judgeTokens (call: Call, answer: Answer, nothing: Omit<Judged, 'end'>): Judged {
  const lines = answer.text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as AnswerLine)
  const last = lines.at(-1)
  if (last === undefined || last.type === 'token') return { ...nothing, end: 'cut', failure: 'the answer has no end' }
  if (last.type === 'failure') return { ...nothing, end: statedEnd(last.outcome), failure: last.failure, retryAt: last.retryAt }
  const tokens = lines.slice(0, -1)
  const right = tokens.length === call.tokens && tokens.every((line, index) => line.type === 'token' && line.index === index && line.token === tokenAt(last.weights, call.text, index))
  return { ...nothing, end: right ? 'whole' : 'wrong', weights: last.weights, failure: right ? '' : `the answer of ${tokens.length} tokens is not right` }
}
