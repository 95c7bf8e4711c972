/** Writes log lines without ever waiting for their reader; lines beyond a bound are dropped and counted. */
import { fstatSync, write } from 'node:fs'
import { Socket } from 'node:net'

const standardOutput = 1
/** Bytes that may wait for the reader. */
const maximumBufferedCharacters = 1 << 20
/** Time for which lines are collected before they are written together, milliseconds. */
const flushIntervalMilliseconds = 50

/** Collects lines and writes them to standard output. */
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

  /** Takes one line. */
  add (line: string): void {
    if (this.bufferedCharacters > maximumBufferedCharacters) {
      this.dropped += 1
      return
    }
    this.lines.push(line)
    this.bufferedCharacters += line.length + 1
    this.timer ??= setTimeout(() => { this.flush() }, flushIntervalMilliseconds)
  }

  /** Writes what is collected; `done` is called once it is out. */
  flush (done?: () => void): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.isWriting || (this.lines.length === 0 && this.dropped === 0)) {
      done?.()
      return
    }
    if (this.dropped > 0) this.lines.push(JSON.stringify({ message: 'log: lines were dropped, since nobody read them', context: { lines: this.dropped } }))
    this.dropped = 0
    const text = `${this.lines.join('\n')}\n`
    const bytes = this.bufferedCharacters
    this.lines = []
    this.isWriting = true
    this.send(text, error => {
      if (error !== null && error !== undefined) this.dropped += 1
      this.isWriting = false
      this.bufferedCharacters = Math.max(0, this.bufferedCharacters - bytes)
      if (this.lines.length > 0) this.timer ??= setTimeout(() => { this.flush() }, flushIntervalMilliseconds)
      done?.()
    })
  }
}
