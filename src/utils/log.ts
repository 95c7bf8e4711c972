/** Structured logs: a short sentence with the prefix of its part, one JSON line each. */
import './enable-log.js'
import { ROARR, Roarr, type Logger } from 'roarr'

/** Nothing is written until `writeLogs` says where and how much. */
ROARR.write = () => {}

/** Parts of the system that log. */
export type LogComponent = 'admission' | 'claims' | 'command' | 'configuration' | 'entry' | 'agent' | 'engine' | 'exchange' | 'gate' | 'instances' | 'members' | 'orders' | 'records' | 'requests' | 'routing' | 'settings' | 'start' | 'stop' | 'trace'

/** Logger whose sentences start with the part's name. */
export interface ComponentLogger {
  info (sentence: string, context?: Readonly<Record<string, string | number | boolean>>): void
  warn (sentence: string, context?: Readonly<Record<string, string | number | boolean>>): void
  error (sentence: string, context?: Readonly<Record<string, string | number | boolean>>): void
}

/** Makes the logger of a part; it never takes bodies, tokens or keys. */
export function logFor (part: LogComponent): ComponentLogger {
  const logger: Logger = Roarr.child({ part })
  return {
    info: (sentence, context = {}) => { logger.info(context, `${part}: ${sentence}`) },
    warn: (sentence, context = {}) => { logger.warn(context, `${part}: ${sentence}`) },
    error: (sentence, context = {}) => { logger.error(context, `${part}: ${sentence}`) }
  }
}

const levelNumbers = { info: 30, warn: 40, error: 50, silent: 100 } as const

/** Writes lines at or above a level, to standard error unless told otherwise. */
export function writeLogs (level: keyof typeof levelNumbers, write: (line: string) => void = line => { process.stderr.write(`${line}\n`) }): void {
  const lowest: number = levelNumbers[level]
  ROARR.write = line => {
    const parsed = JSON.parse(line) as { context: { logLevel: number } }
    if (parsed.context.logLevel >= lowest) write(line)
  }
}
