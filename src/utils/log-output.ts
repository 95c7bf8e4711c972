/** Writes log lines to standard output without blocking on a slow reader; lines beyond a limit are dropped and counted. */
import { fstatSync, write } from 'node:fs'
import { Socket } from 'node:net'

const standardOutput = 1
/** Characters that may be buffered while the reader is slow. */
const maximumBufferedCharacters = 1 << 20
/** Time for which lines are collected to be written together, milliseconds. */
const flushIntervalMilliseconds = 50

/** Buffers lines and writes them to standard output. */
export class LogOutput {
  private lines: string[] = []
  private bufferedCharacters = 0
  private dropped = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined
  private readonly send: (text: string, done: (error: Error | null | undefined) => void) => void

  constructor () {
    const kind = fstatSync(standardOutput)
    if (kind.isFIFO() || kind.isSocket()) {
      const socket = new Socket({ fd: standardOutput, readable: false, writable: true })
      socket.on('error', () => { this.dropped += 1 })
      socket.unref()
      this.send = (text, done) => { socket.write(text, done) }
    } else {
      this.send = (text, done) => { write(standardOutput, text, done) }
    }
  }

  /** Adds a line without its line break; drops it if the buffer is full. */
  add (line: string): void {
    if (this.bufferedCharacters > maximumBufferedCharacters) {
      this.dropped += 1
      return
    }
    this.lines.push(line)
    this.bufferedCharacters += line.length + 1
    this.timer ??= setTimeout(() => { this.flush() }, flushIntervalMilliseconds)
  }

  /** Writes the buffered lines; `done` is called once they are written, or at once if there are none or a write is in progress. */
  flush (done?: () => void): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.isWriting || (this.lines.length === 0 && this.dropped === 0)) {
      done?.()
      return
    }
    if (this.dropped > 0) this.lines.push(JSON.stringify({ message: 'log: lines were dropped because the output was not read in time', context: { lines: this.dropped } }))
    this.dropped = 0
    const text = `${this.lines.join('\n')}\n`
    const characters = this.bufferedCharacters
    this.lines = []
    this.isWriting = true
    this.send(text, error => {
      if (error !== null && error !== undefined) this.dropped += 1
      this.isWriting = false
      this.bufferedCharacters = Math.max(0, this.bufferedCharacters - characters)
      if (this.lines.length > 0) this.timer ??= setTimeout(() => { this.flush() }, flushIntervalMilliseconds)
      done?.()
    })
  }
}
