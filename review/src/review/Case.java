package review;

import java.nio.file.Path;

/** Runs the scripted case whose class is named: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {
    private Case() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Report report = new Report(Path.of(arguments[1]));
                Deployment deployment = new Deployment(report)) {
            report.line("case " + arguments[0] + " trouble=" + (trouble ? 1 : 0));
            boolean broken = (Boolean) Class.forName("review." + arguments[0])
                    .getDeclaredMethod("run", Deployment.class, boolean.class)
                    .invoke(null, deployment, trouble);
            report.line(broken ? "RULE BROKEN" : "RULE HELD");
            code = broken ? 1 : 0;
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
