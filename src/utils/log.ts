/** Structured logs: one JSON line for each message, which is prefixed with the name of its component. */
import './enable-log.js'
import { ROARR, Roarr, type Logger } from 'roarr'

/** Levels as roarr numbers them; nothing is logged at 100. */
const levelNumbers = { info: 30, warn: 40, error: 50, silent: 100 } as const

/** Lowest level that is written; nothing until `writeLogs` sets the output and the level. */
let minimumLevel: number = levelNumbers.silent
ROARR.write = () => {}

/** Components of the system that write logs. */
export type LogComponent = 'admission' | 'claims' | 'command' | 'configuration' | 'entry' | 'agent' | 'engine' | 'exchange' | 'gate' | 'instances' | 'limits' | 'members' | 'orders' | 'records' | 'requests' | 'routing' | 'settings' | 'start' | 'stop' | 'trace'

/** Logger of one component. Messages are short, and neither they nor the context contain bodies, tokens or keys. */
export interface ComponentLogger {
  info (message: string, context?: Readonly<Record<string, string | number | boolean>>): void
  warn (message: string, context?: Readonly<Record<string, string | number | boolean>>): void
  error (message: string, context?: Readonly<Record<string, string | number | boolean>>): void
}

/** Creates the logger of a component. */
export function logFor (component: LogComponent): ComponentLogger {
  const logger: Logger = Roarr.child({ part: component })
  return {
    info: (message, context = {}) => { if (minimumLevel <= levelNumbers.info) logger.info(context, `${component}: ${message}`) },
    warn: (message, context = {}) => { if (minimumLevel <= levelNumbers.warn) logger.warn(context, `${component}: ${message}`) },
    error: (message, context = {}) => { if (minimumLevel <= levelNumbers.error) logger.error(context, `${component}: ${message}`) }
  }
}

/** Writes the lines at or above a level, by default to standard error. */
export function writeLogs (level: keyof typeof levelNumbers, write: (line: string) => void = line => { process.stderr.write(`${line}\n`) }): void {
  minimumLevel = levelNumbers[level]
  ROARR.write = write
}
