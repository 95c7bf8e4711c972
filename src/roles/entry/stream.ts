/** Passes the tokens of an engine's answer on, checked, with a deadline on each piece of progress. */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { classifyLine, type AnswerProgress } from '../../core/answer-lines.js'
import type { CallerRequest } from '../../core/caller-request.js'
import { headers, type AnswerLine } from '../../types/messages.js'
import type { AttemptInput, AttemptResult } from './attempt-input.js'
import type { AnswerHost } from './host.js'

const maximumLineCharacters = 1 << 16
const closeTimeoutMilliseconds = 1000
const drainRefreshMilliseconds = 100

/** Passes tokens until the answer's end, a fault, or silence. */
export async function forwardTokens (host: AnswerHost, input: AttemptInput, answer: IncomingMessage, open: () => void): Promise<AttemptResult> {
  let silent = false
  const timer = setTimeout(() => {
    silent = true
    answer.destroy()
  }, host.settings.progressMilliseconds)
  try {
    let rest = ''
    answer.setEncoding('utf8')
    for await (const part of answer.iterator({ destroyOnReturn: false })) {
      open()
      const lines = (rest + String(part)).split('\n')
      rest = lines.pop() ?? ''
      const passed = forwardLines(input, lines)
      if (passed.tokens > 0) observeProgress(host, input)
      if (passed.state === 'end') {
        releaseConnection(answer)
        return { kind: 'answered' }
      }
      if (passed.state === 'wrong' || rest.length > maximumLineCharacters) return lost(answer, 'wrong')
      if (input.response.writableNeedDrain) await waitForDrain(input, timer)
      timer.refresh()
    }
    return lost(answer, 'cut')
  } catch {
    return lost(answer, silent ? 'silent' : 'cut')
  } finally {
    clearTimeout(timer)
  }
}

/** Starts the caller's answer; its status is 200 from here on. */
export function startStream (response: ServerResponse, caller: CallerRequest, weights: string, instance: string): void {
  if (response.headersSent) return
  response.writeHead(200, {
    'content-type': 'application/x-ndjson',
    [headers.requestId]: caller.id,
    [headers.outcome]: 'run',
    [headers.weights]: weights,
    [headers.instance]: instance
  })
}

/** One line of a caller's answer. */
export function formatLine (line: AnswerLine): string {
  return `${JSON.stringify(line)}\n`
}

type PieceState = 'more' | 'end' | 'wrong'

/** Passes the good lines of a piece as one write. */
function forwardLines (input: AttemptInput, lines: readonly string[]): { readonly state: PieceState, readonly tokens: number } {
  const before = input.tracker.progress
  let progress = before
  let state: PieceState = 'more'
  let text = ''
  for (const line of lines) {
    const verdict = classifyLine(progress, line)
    if (verdict.kind === 'token') {
      text += formatLine({ type: 'token', id: progress.id, index: progress.next, token: verdict.token })
      progress = { ...progress, next: progress.next + 1 }
      continue
    }
    state = verdict.kind === 'end' ? 'end' : 'wrong'
    if (state === 'end') text += formatLine({ type: 'end', id: progress.id, tokens: progress.next, weights: progress.weights })
    break
  }
  if (text !== '') writePiece(input, progress, text, state === 'end')
  return { state, tokens: progress.next - before.next }
}

function writePiece (input: AttemptInput, progress: AnswerProgress, text: string, last: boolean): void {
  const { response, caller, upstream, tracker } = input
  startStream(response, caller, progress.weights, upstream.status.instance)
  tracker.progress = progress
  if (last) response.end(text)
  else response.write(text)
}

function observeProgress (host: AnswerHost, input: AttemptInput): void {
  const { tracker, caller, receivedAt, organisationClass } = input
  const now = Date.now()
  const labels = { service: caller.service, organisations: organisationClass }
  if (tracker.lastAt === 0) {
    host.pace.record(caller.service, now - receivedAt, now)
    host.metrics.observe('first_token_milliseconds', labels, now - receivedAt)
  }
  if (tracker.lastAt > 0) host.metrics.observe('between_tokens_milliseconds', labels, now - tracker.lastAt)
  tracker.lastAt = now
}

function lost (answer: IncomingMessage, reason: 'cut' | 'silent' | 'wrong'): AttemptResult {
  answer.destroy()
  return { kind: 'lost', reason }
}

/** Lets the connection be used again once the ended answer has closed; one that does not close is cut. */
function releaseConnection (answer: IncomingMessage): void {
  const timer = setTimeout(() => { answer.destroy() }, closeTimeoutMilliseconds)
  answer.once('close', () => { clearTimeout(timer) })
  answer.on('error', () => {})
  answer.resume()
}

/** Waits for a slow caller; the upstream's silence does not count meanwhile. */
async function waitForDrain (input: AttemptInput, timer: NodeJS.Timeout): Promise<void> {
  const refreshing = setInterval(() => { timer.refresh() }, drainRefreshMilliseconds)
  try {
    await once(input.response, 'drain', { signal: input.signal })
  } finally {
    clearInterval(refreshing)
  }
}
